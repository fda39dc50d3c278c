/// Scores an item's text by calling the service that the item names.
#ifndef VANILLAGAUGE_GATEWAY_ITEM_SCORER_HPP
#define VANILLAGAUGE_GATEWAY_ITEM_SCORER_HPP

#include "gateway/batch.hpp"
#include "gateway/configuration.hpp"
#include "gateway/forwarder.hpp"

#include <functional>
#include <memory>

namespace vanillagauge::gateway {

/// Outcome of one scoring call.
struct scoring_outcome {
    result<std::string> score;   ///< authentication code of the response
    int internal_errors = 0;     ///< responses with status 500
    int max_internal_errors = 1; ///< the route's limit, after which the call has failed permanently
};

/// `not_run` if no route matches one of the batch's scoring calls.
result<done> check_scoring_routes(const configuration& current, const std::vector<batch_item>& items);

class item_scorer {
public:
    /// `current` returns the active configuration. All must outlive it.
    item_scorer(forwarder& calls, const target_protocol& protocol,
                std::function<const configuration&()> current)
        : calls_(calls), protocol_(protocol), current_(std::move(current))
    {
    }

    /// Makes one call through the route of its host and path, with several attempts if the route allows them.
    net::task<scoring_outcome> score(scoring_call call, policy::priority urgency,
                                     std::shared_ptr<cancellation_token> cancellation);

private:
    forwarder& calls_;
    const target_protocol& protocol_;
    std::function<const configuration&()> current_;
};

} // namespace vanillagauge::gateway

#endif
