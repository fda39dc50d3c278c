/// Messages with which gateways exchange feed updates and crash records, and their JSON.
#ifndef VANILLAGAUGE_GATEWAY_INTERNAL_SYNC_MESSAGES_HPP
#define VANILLAGAUGE_GATEWAY_INTERNAL_SYNC_MESSAGES_HPP

#include "gateway/feed.hpp"
#include "policy/quarantine.hpp"

#include <map>
#include <optional>
#include <string>

namespace vanillagauge::gateway::internal {

/// Poll of a watching gateway.
struct sync_request {
    milliseconds wait{0};                       ///< longest wait for an update; at most a minute
    std::map<std::string, std::uint64_t> since; ///< the sender's revision by kind
    policy::crash_update crashes{};             ///< the sender's, since its last request here
    std::uint64_t crashes_since = 0;            ///< of the receiver's crash records, last received
};

struct served_feed {
    feed_update update;
    milliseconds age{0}; ///< since the copy was confirmed, when the response was sent
};

struct sync_response {
    bool current = false;                       ///< the requested copies that are to be in force soon
    std::optional<milliseconds> failure_age{};  ///< of a call to the store that failed after the copies were
                                                ///< confirmed, when the response was sent
    milliseconds held{0};                       ///< from the receipt of the request to this response
    std::map<std::string, served_feed> feeds{}; ///< by kind; without those that are too old
    policy::crash_update crashes{};
};

nlohmann::json to_json(const sync_request& request);
nlohmann::json to_json(const sync_response& response);
/// Malformed input is `invalid_argument` for a request, `unavailable` for a response.
result<sync_request> sync_request_from_json(const nlohmann::json& document);
result<sync_response> sync_response_from_json(const nlohmann::json& document);

} // namespace vanillagauge::gateway::internal

#endif
