/// A replica whose answers depend on the path: small, large, late, or a long stream.
#ifndef VANILLAGAUGE_TESTS_CLIENT_CROWDS_CROWD_REPLICA_HPP
#define VANILLAGAUGE_TESTS_CLIENT_CROWDS_CROWD_REPLICA_HPP

#include "net/http_service.hpp"

#include <nlohmann/json.hpp>

#include <string>

namespace vanillagauge::client_crowds {

class crowd_replica {
public:
    explicit crowd_replica(net::loop& loop);

    /// The replica's registration in the store.
    nlohmann::json entry() const;

private:
    net::loop& loop_;
    std::string address_;
    net::http_service service_;

    net::task<void> serve(const net::http_request& request, net::responder& answer);
    static net::task<void> stream(net::http_response head, net::responder& answer);
};

} // namespace vanillagauge::client_crowds

#endif
