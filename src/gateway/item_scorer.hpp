/// Scores the text of an item by a call to the service that the item names.
#ifndef VANILLAGAUGE_GATEWAY_ITEM_SCORER_HPP
#define VANILLAGAUGE_GATEWAY_ITEM_SCORER_HPP

#include "gateway/batch.hpp"
#include "gateway/configuration.hpp"
#include "gateway/forwarder.hpp"

#include <functional>
#include <memory>

namespace vanillagauge::gateway {

/// How one call for a score ended.
struct scoring_outcome {
    result<std::string> score;   ///< the answer's authentication code
    int internal_errors = 0;     ///< replicas that answered 500
    int max_internal_errors = 1; ///< after which the route counts the call as failed for good
};

/// `not_run` where no route leads to one of the batch's scoring calls.
result<done> check_scoring_routes(const configuration& current, const std::vector<batch_item>& items);

class item_scorer {
public:
    /// `current` tells the configuration in force. All must outlive it.
    item_scorer(forwarder& calls, const target_protocol& protocol,
                std::function<const configuration&()> current)
        : calls_(calls), protocol_(protocol), current_(std::move(current))
    {
    }

    /// One call through the route of its host and path, at several replicas where the route allows it.
    net::task<scoring_outcome> score(scoring_call call, policy::priority urgency,
                                     std::shared_ptr<cancellation_token> ticket);

private:
    forwarder& calls_;
    const target_protocol& protocol_;
    std::function<const configuration&()> current_;
};

} // namespace vanillagauge::gateway

#endif
