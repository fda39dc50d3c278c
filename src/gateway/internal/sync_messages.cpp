#include "gateway/internal/sync_messages.hpp"

#include "gateway/untrusted_json.hpp"

#include <algorithm>

namespace vanillagauge::gateway::internal {

using nlohmann::json;

namespace {

constexpr std::int64_t max_wait_ms = 60LL * 1000;
/// No gateway keeps a copy or a crash record for longer; larger values are clamped.
constexpr std::int64_t max_record_age_ms = 24LL * 3600 * 1000;

milliseconds bounded(const json& document, std::int64_t max_ms)
{
    return milliseconds{std::clamp<std::int64_t>(document.get<std::int64_t>(), 0, max_ms)};
}

json to_json(const policy::crash_update& update)
{
    json document;
    document["as_of"] = update.as_of;
    for (const auto& suspect : update.suspects) {
        document["suspects"].push_back({{"request", suspect.fingerprint},
                                        {"targets", suspect.targets},
                                        {"left_ms", suspect.remaining.count()}});
    }
    if (!update.cleared.empty()) {
        document["cleared"] = update.cleared;
    }
    return document;
}

policy::crash_update crashes_from_json(const json& document)
{
    policy::crash_update update;
    update.as_of = document.at("as_of").get<std::uint64_t>();
    for (const auto& suspect : member_or_null(document, "suspects")) {
        update.suspects.push_back({suspect.at("request").get<std::uint64_t>(),
                                   suspect.at("targets").get<std::set<std::uint64_t>>(),
                                   bounded(suspect.at("left_ms"), max_record_age_ms)});
    }
    update.cleared = document.value("cleared", std::vector<std::uint64_t>{});
    return update;
}

} // namespace

json to_json(const sync_request& request)
{
    return {{"wait_ms", request.wait.count()},
            {"since", request.since},
            {"crashes", to_json(request.crashes)},
            {"crashes_since", request.crashes_since}};
}

result<sync_request> sync_request_from_json(const json& document)
{
    error malformed{error_code::invalid_argument, run_state::not_run, "malformed sync request"};
    return decode<sync_request>(document, std::move(malformed), [](const json& from) {
        return sync_request{bounded(from.at("wait_ms"), max_wait_ms),
                            from.at("since").get<std::map<std::string, std::uint64_t>>(),
                            crashes_from_json(from.at("crashes")),
                            from.at("crashes_since").get<std::uint64_t>()};
    });
}

json to_json(const sync_response& response)
{
    json document;
    document["serves"] = response.current;
    if (response.failure_age) {
        document["failure_age_ms"] = response.failure_age->count();
    }
    document["held_ms"] = response.held.count();
    for (const auto& [kind, served] : response.feeds) {
        auto& content = document["feeds"][kind] = to_json(served.update);
        content["age_ms"] = served.age.count();
    }
    document["crashes"] = to_json(response.crashes);
    return document;
}

result<sync_response> sync_response_from_json(const json& document)
{
    error malformed{error_code::unavailable, run_state::in_doubt, "malformed sync response"};
    return decode<sync_response>(
        document, std::move(malformed), [](const json& from) -> result<sync_response> {
            sync_response response;
            response.current = from.at("serves").get<bool>();
            if (const auto age = from.find("failure_age_ms"); age != from.end()) {
                response.failure_age = bounded(*age, max_record_age_ms);
            }
            response.held = bounded(from.at("held_ms"), max_wait_ms);
            for (const auto& [kind, content] : member_or_null(from, "feeds").items()) {
                auto update = feed_update_from_json(content);
                if (!ok(update)) {
                    return failure(update);
                }
                response.feeds[kind] = {std::move(value(update)),
                                        bounded(content.at("age_ms"), max_record_age_ms)};
            }
            response.crashes = crashes_from_json(from.at("crashes"));
            return response;
        });
}

} // namespace vanillagauge::gateway::internal
