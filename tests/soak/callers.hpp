/// Callers and trainers of a soak: they find gateways through the directory, keep connections while they
/// last, and write down what they sent and were told.
#ifndef VANILLAGAUGE_TESTS_SOAK_CALLERS_HPP
#define VANILLAGAUGE_TESTS_SOAK_CALLERS_HPP

#include "draw.hpp"
#include "ledger.hpp"
#include "world.hpp"

namespace vanillagauge::soak {

/// Of all gateways, by place.
struct gateway_addresses {
    std::vector<std::string> directories;
    std::vector<std::string> fronts; ///< callers learn from a directory which of these to use
};

/// How a caller uses its connections.
enum class connection_habit {
    mixed,    ///< asks a directory for each connection, gives one up now and then
    keeps,    ///< uses a connection, and then the address, until there is nobody
    connects, ///< as `keeps`, with a new connection for each request
};

class callers {
public:
    /// All must outlive it.
    callers(net::loop& loop, const world& around, ledger& book, gateway_addresses gateways,
            std::uint64_t seed);

    void start();
    /// After the faults: every gateway serves, every batch that stands is read to its end.
    net::task<void> check_recovery();
    const std::map<std::string, batch_record>& batches() const { return batches_; }

private:
    net::loop& loop_;
    const world& world_;
    ledger& book_;
    gateway_addresses gateways_;
    std::uint64_t seed_;
    std::map<std::string, batch_record> batches_;

    net::task<std::string> resolve(draw& drawn);
    net::task<net::http_result<net::http_response>> exchange(std::string address, net::http_request request);
    /// A connection of this habit, empty where nobody could be reached; `address` may be from before.
    net::task<std::unique_ptr<net::http_connection>> open(connection_habit habit, std::string& address,
                                                          draw& drawn);
    net::task<net::http_result<net::http_response>>
    ask(net::http_connection& connection, const std::string& address, const net::http_request& request);
    std::string gateway_at(const std::string& address) const;
    net::task<void> call_on(std::uint64_t number, connection_habit habit);
    net::task<void> train(std::uint64_t number);
    net::task<void> submit(std::string id, draw& drawn);
    net::task<bool> read_some(std::string id, draw& drawn);
    net::task<void> end(std::string id, draw& drawn);
    net::task<bool> serves(std::string address, std::string path, std::string id);
};

} // namespace vanillagauge::soak

#endif
