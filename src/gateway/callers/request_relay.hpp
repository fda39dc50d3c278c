/// Relays plain requests to a hub, a gateway that keeps connections to a service's replicas in use, and
/// serves as a hub for others.
#ifndef VANILLAGAUGE_GATEWAY_CALLERS_REQUEST_RELAY_HPP
#define VANILLAGAUGE_GATEWAY_CALLERS_REQUEST_RELAY_HPP

#include "gateway/callers/relay_messages.hpp"
#include "gateway/fleet_view.hpp"
#include "gateway/forwarder.hpp"
#include "policy/relay_choice.hpp"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <variant>

namespace vanillagauge::gateway {

/// Path on which a gateway relays requests to a hub.
constexpr const char* forward_path = "/forward";

struct relay_hub {
    std::string vm;
    std::string address;
};

/// The hub gave no answer to the request.
struct relay_failure {
    const char* cause = ""; ///< as in the metric relay_fallbacks_total
    bool in_doubt = true;   ///< whether the hub may have run the request
};

using relay_outcome = std::variant<relayed_answer, relay_failure>;

/// Told of the connection before anything is sent on it; returns whether the caller still waits.
using connection_observer = std::function<bool(std::shared_ptr<net::http_connection>)>;

/// Of the gateway that has the caller.
struct relay_callbacks {
    connection_observer on_connected;
    net::room_taker take_room{}; ///< for the answer; null: all has room
};

class request_relay {
public:
    /// `refresh` waits until the configuration is young enough to decide by. All must outlive it.
    request_relay(net::loop& loop, forwarder& forwarding, const fleet_view& fleet,
                  const target_registry& targets, observe::metrics& counts,
                  std::function<const configuration&()> current, std::function<net::task<void>()> refresh,
                  std::size_t max_direct_pairs);

    /// The hub for a request to the service; none if this gateway is to send it itself.
    std::optional<relay_hub> choose(const std::string& service) const;
    /// Asks the hub to run the request before `until`. The request's `time_left` is set when it is sent.
    net::task<relay_outcome> send(relay_hub hub, relayed_request request, time_point until,
                                  relay_callbacks caller);
    /// Serves as a hub: 400 for a malformed request; 409, without running it, for one that the other gateway
    /// is to send itself; else the head of the response follows at once, and the outcome as its body.
    net::task<void> serve(const net::http_request& request, net::responder& answer);

private:
    struct accepted_request;
    struct served_run;
    net::loop& loop_;
    forwarder& forwarding_;
    const fleet_view& fleet_;
    const target_registry& targets_;
    observe::metrics& counts_;
    std::function<const configuration&()> current_;
    std::function<net::task<void>()> refresh_;
    policy::relay_choice choice_;
    std::map<std::string, std::shared_ptr<net::connection_pool>> pools_; ///< by the hub's address

    net::task<relay_outcome> exchange(relay_hub hub, relayed_request request, time_point until,
                                      relay_callbacks caller);
    result<accepted_request> accept(relayed_request request) const;
    net::task<void> run(std::shared_ptr<served_run> served, accepted_request accepted);
};

} // namespace vanillagauge::gateway

#endif
