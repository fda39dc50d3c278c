#include "claims/claims.hpp"

#include <gtest/gtest.h>

namespace vanillagauge::claims {
namespace {

const claim_pair pair{{"vm-1", 7}, {"vm-2", 9}};

TEST(call_key, keeps_its_pair_expiry_and_suffix)
{
    const auto parsed = parse_key(format_prefix(pair, 1234, 5) + "-charge-1");
    ASSERT_TRUE(ok(parsed));
    EXPECT_EQ(value(parsed).pair, pair);
    EXPECT_EQ(value(parsed).expires_ms, 1234);
    EXPECT_TRUE(value(parsed).suffix.ends_with("-charge-1"));
}

TEST(call_key, rejects_malformed_text)
{
    for (const std::string text : {"", "a", "vm~x~vm~2~3~4", "~~~~~", "vm~1~vm~2~99999999999999999999~0"}) {
        EXPECT_FALSE(ok(parse_key(text))) << text;
    }
}

} // namespace
} // namespace vanillagauge::claims
