/// Messages with which gateways exchange counts of runs, the stored reports, and their JSON.
#ifndef VANILLAGAUGE_GATEWAY_INTERNAL_USAGE_MESSAGES_HPP
#define VANILLAGAUGE_GATEWAY_INTERNAL_USAGE_MESSAGES_HPP

#include "base/base.hpp"
#include "usage/usage.hpp"

#include <nlohmann/json.hpp>

namespace vanillagauge::gateway::internal {

/// What a process has counted, sent to a collector.
struct counts_message {
    std::string source; ///< the counting process
    usage::window_counts windows;
};

nlohmann::json to_json(const counts_message& message);
nlohmann::json to_json(const usage::source_counts& known);
nlohmann::json to_json(const usage::report_log& log);
/// `invalid_argument` if malformed.
result<counts_message> counts_message_from_json(const nlohmann::json& document);
result<usage::source_counts> source_counts_from_json(const nlohmann::json& document);
result<usage::report_log> report_log_from_json(const nlohmann::json& document);

} // namespace vanillagauge::gateway::internal

#endif
