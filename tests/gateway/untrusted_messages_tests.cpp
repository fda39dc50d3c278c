#include "../odd_json.hpp"
#include "gateway/batch.hpp"
#include "gateway/batch_texts.hpp"
#include "gateway/callers/relay_messages.hpp"
#include "gateway/engines/engine_exchange.hpp"
#include "gateway/internal/usage_messages.hpp"
#include "policy/trainer_slack.hpp"

#include <gtest/gtest.h>

namespace vanillagauge::gateway {
namespace {

using nlohmann::json;

json parsed(const std::string& text)
{
    return json::parse(text, nullptr, false);
}

json sound_header()
{
    batch_header header;
    header.service = "s";
    header.accepted = std::chrono::system_clock::now();
    return to_json(header);
}

/// Without the nested ones, which a document may not be copied with.
std::vector<std::string> flat_odd_counts()
{
    auto odd = odd_counts();
    odd.pop_back();
    return odd;
}

// Guards against a time beyond what a clock can represent, which wraps round to one in the past.
TEST(untrusted_messages, stored_times_of_batches_stay_within_the_clock)
{
    const auto now = steady::now();
    for (const auto number : {std::numeric_limits<std::int64_t>::max(),
                              std::numeric_limits<std::int64_t>::min(), std::int64_t{9'300'000'000'000}}) {
        auto text = sound_header();
        text["max_age_ms"] = number;
        text["result_time_ms"] = number;
        text["accepted_unix_ms"] = number;
        const auto read = header_from_json("b1", text, {});
        ASSERT_TRUE(ok(read)) << number;
        const auto& header = value(read);
        EXPECT_GE(header.accepted, wall_time{});
        EXPECT_GE(header.accepted + header.max_age, header.accepted);
        EXPECT_GE(header.accepted + header.result_time, header.accepted);
        EXPECT_GE(now + header.result_time, now);
    }
}

// Guards against a batch that is lost since a gateway of another version stored an infinite number as null.
TEST(untrusted_messages, stored_batches_with_a_null_estimate_are_read)
{
    auto text = sound_header();
    text["work"] = nullptr;
    text["tokens_per_event"] = nullptr;
    EXPECT_TRUE(ok(header_from_json("b1", text, {})));
    auto part = to_parts({batch_item{}}, 1000).front();
    part["items"][0]["hint"] = nullptr;
    part["items"][0]["max_output"] = nullptr;
    EXPECT_TRUE(ok(items_from_json(part)));
}

TEST(untrusted_messages, stored_counts_of_batches_are_checked)
{
    for (const auto& odd : flat_odd_counts()) {
        for (const auto* member :
             {"incarnation", "least_version", "step", "total", "wanted_groups", "parts"}) {
            auto text = sound_header();
            text[member] = parsed(odd);
            EXPECT_FALSE(ok(header_from_json("b1", text, {}))) << member << odd;
        }
        auto part = to_parts({batch_item{}}, 1000).front();
        part["items"][0]["tokens"] = parsed(odd);
        EXPECT_FALSE(ok(items_from_json(part))) << odd;
        auto texts = to_json(std::vector<saved_text>{{"i", "t", 12, 12, {1}, false}});
        for (const auto* member : {"events", "last"}) {
            auto changed = texts;
            changed["texts"][0][member] = parsed(odd);
            EXPECT_FALSE(ok(texts_from_json(changed))) << member << odd;
        }
        texts["texts"][0]["versions"][0] = parsed(odd);
        EXPECT_FALSE(ok(texts_from_json(texts))) << odd;
        auto segment = to_json(result_segment{0, "w", {{"i", item_state::completed, "t", {1}, {}}}});
        segment["results"][0]["versions"][0] = parsed(odd);
        EXPECT_FALSE(ok(segment_from_json("00000000", segment))) << odd;
    }
}

// Guards against counts near 2^64 that a negative number of a peer becomes, as the larger count stands.
TEST(untrusted_messages, counts_of_usage_are_checked)
{
    ASSERT_TRUE(ok(internal::counts_message_from_json(parsed(R"({"source":"x","windows":{"7":{"o":1}}})"))));
    for (const auto& odd : flat_odd_counts()) {
        EXPECT_FALSE(ok(internal::counts_message_from_json(
            parsed(R"({"source":"x","windows":{"7":{"o":)" + odd + "}}}"))))
            << odd;
        EXPECT_FALSE(ok(internal::source_counts_from_json(parsed(R"({"sources":{"x":{"o":)" + odd + "}}}"))))
            << odd;
        EXPECT_FALSE(ok(
            internal::report_log_from_json(parsed(R"({"windows":{"7":{"o":1}},"accepted":[)" + odd + "]}"))))
            << odd;
    }
}

TEST(untrusted_messages, relayed_requests_with_odd_members_are_refused)
{
    relayed_request request;
    request.route = "r";
    request.attempt_id = "a";
    request.http.fields.add("Host", "h");
    request.time_left = milliseconds(100);
    const auto sound = value(to_text(request));
    ASSERT_TRUE(ok(relayed_request_from_text(sound)));
    for (const auto& odd : odd_counts()) {
        for (const std::string member : {"\"left_ms\":100", "\"attempts\":1"}) {
            const auto name = member.substr(0, member.find(':') + 1);
            EXPECT_FALSE(ok(relayed_request_from_text(replaced(sound, member, name + odd)))) << name << odd;
        }
    }
    const auto deep = nested_arrays();
    EXPECT_FALSE(ok(relayed_request_from_text(replaced(sound, "\"r\"", deep))));
    EXPECT_FALSE(ok(relayed_request_from_text(replaced(sound, "{", "{\"unknown\":" + deep + ","))));
    EXPECT_FALSE(ok(relayed_request_from_text(deep)));
    EXPECT_FALSE(ok(relayed_answer_from_text(deep)));
}

// Guards against a step near 2^64 of one client whose distance to the others overflows a time.
TEST(untrusted_messages, a_steps_number_does_not_overflow_the_trainers_schedule)
{
    policy::trainer_slack trainers;
    const auto now = std::chrono::system_clock::now();
    for (const std::uint64_t step :
         {std::uint64_t{0}, std::uint64_t{1}, std::uint64_t{2}, ~std::uint64_t{0}, std::uint64_t{1} << 62U}) {
        trainers.observe(
            {"m", step, now + seconds(2 * static_cast<int>(step % 5)), now + seconds(20), false});
    }
    EXPECT_EQ(trainers.behind("m"), duration{0});
}

// Guards against peers that refuse every report of a gateway since one length of a client is immense.
TEST(untrusted_messages, engine_reports_with_immense_lengths_are_accepted)
{
    policy::engine_report report;
    report.vm = "b";
    report.uses.push_back({"e", 1, 1e300});
    const auto read = engine_report_from_json(to_json(report));
    ASSERT_TRUE(ok(read));
    policy::engine_ledger ledger("a");
    EXPECT_TRUE(ok(ledger.apply(value(read), steady::now())));
}

} // namespace
} // namespace vanillagauge::gateway
