/// Decides whether a plain request is relayed to another gateway, and to which.
#ifndef VANILLAGAUGE_POLICY_RELAY_CHOICE_HPP
#define VANILLAGAUGE_POLICY_RELAY_CHOICE_HPP

#include "base/base.hpp"

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace vanillagauge::policy {

struct hub_candidate {
    std::string vm;
    std::string failure_domain;
};

/// What a gateway knows of a service at the moment of the choice.
struct relay_situation {
    std::vector<hub_candidate>
        ranked;               ///< gateways that may be hubs, by their rendezvous rank for the service
    std::size_t gateways = 0; ///< that serve callers
    std::size_t replicas = 0; ///< usable ones of the service
};

/// The service's hubs: the first candidate by rank, and the next one in another failure domain if there is
/// one, else the next.
std::vector<std::string> choose_hubs(const std::vector<hub_candidate>& ranked);

class relay_choice {
public:
    /// Services with up to `max_direct_pairs` pairs of gateway and replica are served without a relay.
    relay_choice(std::string self, std::size_t max_direct_pairs)
        : self_(std::move(self)), max_direct_pairs_(max_direct_pairs)
    {
    }

    /// The hub to relay a request to; none if this gateway is to send the request itself.
    std::optional<std::string> choose(const relay_situation& known, time_point now) const;
    /// The hub did not answer; it is not chosen for three seconds.
    void exclude(const std::string& hub, time_point now);

private:
    std::string self_;
    std::size_t max_direct_pairs_;
    std::map<std::string, time_point> excluded_until_; ///< by hub
};

} // namespace vanillagauge::policy

#endif
