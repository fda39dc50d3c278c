#include "base/address.hpp"

#include <gtest/gtest.h>

namespace vanillagauge {
namespace {

TEST(address, accepts_an_ip_address_and_a_port)
{
    const auto parsed = parse_endpoint("10.1.0.10:8161");
    ASSERT_TRUE(ok(parsed));
    EXPECT_EQ(value(parsed).host, "10.1.0.10");
    EXPECT_EQ(value(parsed).port, 8161);
    EXPECT_TRUE(ok(parse_endpoint("127.0.0.1:0"))) << "any free port";
}

TEST(address, rejects_other_forms_and_quotes_the_input)
{
    for (const auto* text : {"", "10.1.0.10", "10.1.0.10:", ":80", "host:80", "10.1.0.10:80x",
                             "10.1.0.10:65536", "10.1.0.10:-1", "10.1.0:80:80"}) {
        const auto parsed = parse_endpoint(text);
        ASSERT_FALSE(ok(parsed)) << text;
        EXPECT_EQ(failure(parsed).code, error_code::invalid_argument);
        EXPECT_NE(failure(parsed).detail.find(std::string("\"") + text + "\""), std::string::npos);
    }
}

} // namespace
} // namespace vanillagauge
