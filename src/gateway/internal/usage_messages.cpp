#include "gateway/internal/usage_messages.hpp"

#include "gateway/untrusted_json.hpp"

#include <charconv>

namespace vanillagauge::gateway::internal {

using nlohmann::json;

namespace {

json to_json(const usage::window_counts& windows)
{
    json text = json::object();
    for (const auto& [window, runs] : windows) {
        text[std::to_string(window)] = runs;
    }
    return text;
}

/// Throws json::exception where a count is not a number of 64 bits.
usage::counts counts_from_json(const json& text)
{
    usage::counts runs;
    for (const auto& [organisation, number] : text.get_ref<const json::object_t&>()) {
        runs[organisation] = to_integer<std::uint64_t>(number);
    }
    return runs;
}

/// Throws json::exception, or returns an error where a name is not a number.
result<usage::window_counts> windows_from_json(const json& text)
{
    usage::window_counts windows;
    for (const auto& [name, runs] : text.items()) {
        std::uint64_t window = 0;
        const auto parsed = std::from_chars(name.data(), name.data() + name.size(), window);
        if (parsed.ec != std::errc{} || parsed.ptr != name.data() + name.size()) {
            return malformed("expected the number of a window, found " + name);
        }
        windows[window] = counts_from_json(runs);
    }
    return windows;
}

} // namespace

json to_json(const counts_message& message)
{
    return {{"source", message.source}, {"windows", to_json(message.windows)}};
}

json to_json(const usage::source_counts& known)
{
    return {{"sources", known}};
}

json to_json(const usage::report_log& log)
{
    return {{"windows", to_json(log.reports())}, {"accepted", log.acknowledged()}};
}

result<counts_message> counts_message_from_json(const json& document)
{
    return decode<counts_message>(
        document, malformed("cannot decode counts of runs"), [](const json& from) -> result<counts_message> {
            auto windows = windows_from_json(from.at("windows"));
            if (!ok(windows)) {
                return failure(windows);
            }
            return counts_message{from.at("source").get<std::string>(), std::move(value(windows))};
        });
}

result<usage::source_counts> source_counts_from_json(const json& document)
{
    return decode<usage::source_counts>(document, malformed("cannot decode the counts of a window"),
                                        [](const json& from) -> result<usage::source_counts> {
                                            usage::source_counts known;
                                            for (const auto& [source, runs] :
                                                 from.at("sources").get_ref<const json::object_t&>()) {
                                                known[source] = counts_from_json(runs);
                                            }
                                            return known;
                                        });
}

result<usage::report_log> report_log_from_json(const json& document)
{
    return decode<usage::report_log>(document, malformed("cannot decode stored usage reports"),
                                     [](const json& from) -> result<usage::report_log> {
                                         auto windows = windows_from_json(from.at("windows"));
                                         if (!ok(windows)) {
                                             return failure(windows);
                                         }
                                         usage::report_log log;
                                         for (auto& [window, runs] : value(windows)) {
                                             log.append(window, std::move(runs));
                                         }
                                         for (const auto window :
                                              integers_at<std::uint64_t>(from, "accepted")) {
                                             log.acknowledge(window);
                                         }
                                         return log;
                                     });
}

} // namespace vanillagauge::gateway::internal
