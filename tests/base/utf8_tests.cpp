#include "base/utf8.hpp"

#include <gtest/gtest.h>

#include <string>

namespace vanillagauge {
namespace {

TEST(is_utf8, accepts_text)
{
    for (const std::string text :
         {"", "plain", "caf\xc3\xa9", "\xe2\x82\xac", "\xf0\x9f\x98\x80", "\xef\xbf\xbd"}) {
        EXPECT_TRUE(is_utf8(text)) << text;
    }
    EXPECT_TRUE(is_utf8({"a\0b", 3}));
}

TEST(is_utf8, rejects_other_bytes)
{
    for (const std::string bytes :
         {"\xff", "\x80", "\xc3", "\xc3(", "\xe2\x82", "\xc0\xaf", "\xe0\x80\xaf", "\xed\xa0\x80",
          "\xf4\x90\x80\x80", "\xf8\x88\x80\x80\x80", "text\xf0\x9f"}) {
        EXPECT_FALSE(is_utf8(bytes));
    }
}

} // namespace
} // namespace vanillagauge
