#include "gateway/internal/sync_messages.hpp"

#include "gateway/untrusted_json.hpp"

#include <algorithm>

namespace vanillagauge::gateway::internal {

using nlohmann::json;

namespace {

constexpr std::int64_t longest_wait_ms = 60LL * 1000;
/// No gateway remembers a failure or a crash for longer; one that says so is none.
constexpr std::int64_t longest_memory_ms = 24LL * 3600 * 1000;

milliseconds bounded(const json& text, std::int64_t most_ms)
{
    return milliseconds{std::clamp<std::int64_t>(text.get<std::int64_t>(), 0, most_ms)};
}

json to_json(const policy::crash_news& news)
{
    json text;
    text["as_of"] = news.as_of;
    for (const auto& suspect : news.suspects) {
        text["suspects"].push_back({{"request", suspect.fingerprint},
                                    {"targets", suspect.targets},
                                    {"left_ms", suspect.left.count()}});
    }
    if (!news.cleared.empty()) {
        text["cleared"] = news.cleared;
    }
    return text;
}

policy::crash_news crashes_from_json(const json& text)
{
    policy::crash_news news;
    news.as_of = text.at("as_of").get<std::uint64_t>();
    for (const auto& suspect : member_or_null(text, "suspects")) {
        news.suspects.push_back({suspect.at("request").get<std::uint64_t>(),
                                 suspect.at("targets").get<std::set<std::uint64_t>>(),
                                 bounded(suspect.at("left_ms"), longest_memory_ms)});
    }
    news.cleared = text.value("cleared", std::vector<std::uint64_t>{});
    return news;
}

} // namespace

json to_json(const news_question& question)
{
    return {{"wait_ms", question.wait.count()},
            {"since", question.since},
            {"crashes", to_json(question.crashes)},
            {"crashes_since", question.crashes_since}};
}

result<news_question> question_from_json(const json& text)
{
    error malformed{error_code::invalid_argument, run_state::not_run,
                    "expected a gateway's question for news"};
    return decoded<news_question>(text, std::move(malformed), [](const json& from) {
        return news_question{bounded(from.at("wait_ms"), longest_wait_ms),
                             from.at("since").get<std::map<std::string, std::uint64_t>>(),
                             crashes_from_json(from.at("crashes")),
                             from.at("crashes_since").get<std::uint64_t>()};
    });
}

json to_json(const news_answer& answer)
{
    json text;
    text["serves"] = answer.serves;
    if (answer.failed_ago) {
        text["failed_ms_ago"] = answer.failed_ago->count();
    }
    for (const auto& [kind, news] : answer.by_kind) {
        text["feeds"][kind] = to_json(news);
    }
    text["crashes"] = to_json(answer.crashes);
    return text;
}

result<news_answer> answer_from_json(const json& text)
{
    error malformed{error_code::unavailable, run_state::in_doubt, "expected a gateway's news"};
    return decoded<news_answer>(text, std::move(malformed), [](const json& from) -> result<news_answer> {
        news_answer answer;
        answer.serves = from.at("serves").get<bool>();
        if (const auto failed = from.find("failed_ms_ago"); failed != from.end()) {
            answer.failed_ago = bounded(*failed, longest_memory_ms);
        }
        for (const auto& [kind, told] : member_or_null(from, "feeds").items()) {
            auto news = feed_news_from_json(told);
            if (!ok(news)) {
                return failure(news);
            }
            answer.by_kind[kind] = std::move(value(news));
        }
        answer.crashes = crashes_from_json(from.at("crashes"));
        return answer;
    });
}

} // namespace vanillagauge::gateway::internal
