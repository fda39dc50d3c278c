/// HTTP/2 server for a dispatcher, for calls between processes of this service, using nghttp2.
#ifndef VANILLAGAUGE_WIRE_PEER_SERVER_HPP
#define VANILLAGAUGE_WIRE_PEER_SERVER_HPP

#include "wire/dispatcher.hpp"
#include "wire/event_loop.hpp"

#include <cstddef>
#include <functional>
#include <memory>
#include <string>

namespace vanillagauge::wire {

/// Why a server closed a connection.
enum class closing_cause { connections, memory };

/// What all clients of a server may take together.
struct peer_limits {
    /// Accepted connections; a further one closes the idle one that has been silent longest.
    std::size_t connections = 4096;
    std::size_t message_bytes = std::size_t{256}
                                << 20U; ///< of calls and replies; beyond it a connection is closed
    std::function<void(closing_cause)> on_closed{};
};

class peer_server {
public:
    /// The loop and the dispatcher must outlive the server.
    peer_server(event_loop& loop, const dispatcher& calls, const peer_limits& limits = {});
    ~peer_server();
    peer_server(const peer_server&) = delete;
    peer_server& operator=(const peer_server&) = delete;

    /// Listens on `host:port`; port 0 picks a free port. Returns the bound address.
    result<std::string> open(const std::string& address);
    void close();

private:
    struct state;
    std::shared_ptr<state> state_;
};

} // namespace vanillagauge::wire

#endif
