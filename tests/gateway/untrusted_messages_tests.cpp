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

} // namespace
} // namespace vanillagauge::gateway
