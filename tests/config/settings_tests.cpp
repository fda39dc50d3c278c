#include "config/config.hpp"

#include <gtest/gtest.h>

namespace vanillagauge::config {
namespace {

const std::string valid = R"({
  "vm": "vm-1", "failure_domain": "piraeus", "platform": "127.0.0.1:7000",
  "tokens": {"caller": "12345678", "trainer": "12345678", "operator": "12345678", "peer": "12345678"},
  "keeper": {"address": "127.0.0.1:7101"}
})";

std::string replaced(std::string text, const std::string& from, const std::string& to)
{
    return text.replace(text.find(from), from.size(), to);
}

TEST(settings, take_defaults_for_what_is_left_out)
{
    const auto parsed = parse_settings(valid, "vm.json");
    ASSERT_TRUE(ok(parsed)) << failure(parsed).detail;
    EXPECT_EQ(value(parsed).entry.http_listen, "127.0.0.1:0");
}

TEST(settings, name_the_file_the_path_and_what_was_found)
{
    const auto parsed = parse_settings(replaced(valid, "127.0.0.1:7101", "nowhere"), "vm.json");
    ASSERT_FALSE(ok(parsed));
    const auto& detail = failure(parsed).detail;
    EXPECT_NE(detail.find("vm.json"), std::string::npos) << detail;
    EXPECT_NE(detail.find("/keeper/address"), std::string::npos) << detail;
    EXPECT_NE(detail.find("nowhere"), std::string::npos) << detail;
}

TEST(settings, refuse_an_unknown_key)
{
    EXPECT_FALSE(ok(parse_settings(replaced(valid, "\"vm\":", "\"vmm\": 1, \"vm\":"), "vm.json")));
}

TEST(settings, refuse_text_that_is_not_json)
{
    EXPECT_FALSE(ok(parse_settings("{", "vm.json")));
    EXPECT_FALSE(ok(parse_settings("", "vm.json")));
}

TEST(deployment, refuses_two_targets_with_one_id)
{
    const std::string target = R"({"id": "a", "address": "127.0.0.1:1", "failure_domain": "x"})";
    const auto parsed =
        parse_deployment("d", R"({"kind": "engine", "targets": [)" + target + "," + target + "]}");
    ASSERT_FALSE(ok(parsed));
    EXPECT_EQ(failure(parsed).code, error_code::invalid_argument);
}

TEST(object_check, refuses_an_unknown_kind)
{
    EXPECT_FALSE(ok(check_object("thing", "a", "{}")));
}

} // namespace
} // namespace vanillagauge::config
