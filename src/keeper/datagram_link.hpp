/// Sends and receives the failure detector's datagrams over UDP, authenticated with the peer token.
#ifndef VANILLAGAUGE_KEEPER_DATAGRAM_LINK_HPP
#define VANILLAGAUGE_KEEPER_DATAGRAM_LINK_HPP

#include "base/base.hpp"
#include "fleet/datagram.hpp"
#include "wire/event_loop.hpp"

#include <functional>
#include <memory>
#include <string>

namespace vanillagauge::keeper {

/// Datagrams and bytes sent and received, without IP and UDP headers.
struct datagram_counts {
    std::uint64_t sent = 0;
    std::uint64_t sent_bytes = 0;
    std::uint64_t received = 0;
    std::uint64_t received_bytes = 0;
    std::uint64_t refused = 0; ///< failed authentication or parsing
};

/// Use on the loop's thread, except `open` and `counts`.
class datagram_link {
public:
    using receiver = std::function<void(const fleet::datagram&)>;

    /// The loop must outlive it.
    datagram_link(wire::event_loop& loop, std::string token, receiver on_datagram);
    ~datagram_link();
    datagram_link(const datagram_link&) = delete;
    datagram_link& operator=(const datagram_link&) = delete;

    /// Binds a free port on this host; returns the address. `unavailable` if binding fails.
    result<std::string> open(const std::string& host);
    void send(const std::string& address, const fleet::datagram& message);
    datagram_counts counts() const;

private:
    struct state;
    std::shared_ptr<state> state_;
};

} // namespace vanillagauge::keeper

#endif
