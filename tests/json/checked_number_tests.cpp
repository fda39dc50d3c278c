#include "json/checked_number.hpp"

#include <gtest/gtest.h>

namespace vanillagauge {
namespace {

using nlohmann::json;

constexpr auto max_int64 = std::numeric_limits<std::int64_t>::max();
constexpr auto min_int64 = std::numeric_limits<std::int64_t>::min();
constexpr auto max_uint64 = std::numeric_limits<std::uint64_t>::max();

TEST(checked_integer, takes_what_fits)
{
    EXPECT_EQ(checked_integer<int>(json(7)), 7);
    EXPECT_EQ(checked_integer<int>(json(-7)), -7);
    EXPECT_EQ(checked_integer<int>(json(7.9)), 7);
    EXPECT_EQ(checked_integer<unsigned>(json(-0.5)), 0U);
    EXPECT_EQ(checked_integer<std::uint64_t>(json(max_uint64)), max_uint64);
    EXPECT_EQ(checked_integer<std::int64_t>(json(max_int64)), max_int64);
    EXPECT_EQ(checked_integer<std::int64_t>(json(min_int64)), min_int64);
    EXPECT_EQ(checked_integer<std::int64_t>(json(-9223372036854775808.0)), min_int64);
}

// Guards against a conversion whose result differs between processors.
TEST(checked_integer, takes_no_number_out_of_range)
{
    EXPECT_EQ(checked_integer<int>(json(2147483648)), std::nullopt);
    EXPECT_EQ(checked_integer<int>(json(-2147483649)), std::nullopt);
    EXPECT_EQ(checked_integer<std::int64_t>(json(max_uint64)), std::nullopt);
    EXPECT_EQ(checked_integer<std::uint64_t>(json(-1)), std::nullopt);
    for (const double number : {1e300, -1e300, 18446744073709551616.0, HUGE_VAL, -HUGE_VAL, std::nan("")}) {
        EXPECT_EQ(checked_integer<int>(number), std::nullopt) << number;
        EXPECT_EQ(checked_integer<std::int64_t>(number), std::nullopt) << number;
        EXPECT_EQ(checked_integer<std::uint64_t>(json(number)), std::nullopt) << number;
    }
    EXPECT_EQ(checked_integer<std::int64_t>(9223372036854775808.0), std::nullopt);
}

TEST(checked_integer, takes_no_other_type)
{
    for (const auto& other : {json(), json(true), json("7"), json::array({7}), json::object()}) {
        EXPECT_EQ(checked_integer<int>(other), std::nullopt) << other;
    }
}

TEST(integer_at, throws_where_a_member_is_no_number_in_range)
{
    const json object{{"sound", 7}, {"negative", -1}, {"text", "7"}, {"none", nullptr}};
    EXPECT_EQ(integer_at<unsigned>(object, "sound"), 7U);
    EXPECT_EQ(integer_at_or<unsigned>(object, "absent", 3), 3U);
    for (const auto* member : {"negative", "text", "none"}) {
        EXPECT_THROW(integer_at<unsigned>(object, member), json::exception) << member;
        EXPECT_THROW(integer_at_or<unsigned>(object, member, 3), json::exception) << member;
    }
    EXPECT_THROW(integer_at<unsigned>(object, "absent"), json::exception);
    EXPECT_THROW(integer_at<unsigned>(json::array(), "sound"), json::exception);
}

TEST(milliseconds_at, limits_the_time)
{
    using std::chrono::milliseconds;
    const json object{{"long", max_int64}, {"negative", min_int64}, {"text", "7"}};
    EXPECT_EQ(milliseconds_at(object, "long", milliseconds{0}, milliseconds{9}), milliseconds{9});
    EXPECT_EQ(milliseconds_at(object, "negative", milliseconds{0}, milliseconds{9}), milliseconds{0});
    EXPECT_THROW(milliseconds_at(object, "text", milliseconds{0}, milliseconds{9}), json::exception);
}

TEST(number_or, takes_numbers_only)
{
    const json object{{"number", 2.5}, {"none", nullptr}};
    EXPECT_EQ(number_or(object, "number", 1), 2.5);
    EXPECT_EQ(number_or(object, "none", 1), 1);
    EXPECT_EQ(number_or(object, "absent", 1), 1);
    EXPECT_EQ(number_or(json(), "number", 1), 1);
}

} // namespace
} // namespace vanillagauge
