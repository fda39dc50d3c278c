/// What gateways ask and tell each other about feeds and crashes, and its JSON.
#ifndef VANILLAGAUGE_GATEWAY_INTERNAL_SYNC_MESSAGES_HPP
#define VANILLAGAUGE_GATEWAY_INTERNAL_SYNC_MESSAGES_HPP

#include "gateway/feed.hpp"
#include "policy/quarantine.hpp"

#include <map>
#include <optional>
#include <string>

namespace vanillagauge::gateway::internal {

/// What a gateway asks of one that watches, and what it tells it.
struct sync_request {
    milliseconds wait{0};                       ///< for news, where there is none; at most a minute
    std::map<std::string, std::uint64_t> since; ///< by kind, the revision that the asker knows
    policy::crash_update crashes{};             ///< since the asker last told this gateway
    std::uint64_t crashes_since = 0;            ///< what the asker has heard of this gateway's crashes
};

struct sync_response {
    bool store_reachable = false;              ///< the store serves the gateway that answers
    std::optional<milliseconds> failure_age{}; ///< since the store was last found not to serve it
    std::map<std::string, feed_update> feeds{};
    policy::crash_update crashes{};
};

nlohmann::json to_json(const sync_request& request);
nlohmann::json to_json(const sync_response& response);
/// Errors say what was expected: `invalid_argument` for a question, `unavailable` for an answer.
result<sync_request> sync_request_from_json(const nlohmann::json& document);
result<sync_response> sync_response_from_json(const nlohmann::json& document);

} // namespace vanillagauge::gateway::internal

#endif
