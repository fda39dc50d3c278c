#include "../odd_json.hpp"
#include "config/config.hpp"
#include "config/internal/schema_check.hpp"

#include <gtest/gtest.h>

namespace vanillagauge::config {
namespace {

const std::string valid = R"({
  "vm": "vm-1", "failure_domain": "piraeus", "platform": "127.0.0.1:7000",
  "tokens": {"caller": "12345678", "trainer": "12345678", "operator": "12345678", "peer": "12345678"},
  "keeper": {"address": "127.0.0.1:7101"}
})";

TEST(settings, missing_keys_take_defaults)
{
    const auto parsed = parse_settings(valid, "vm.json");
    ASSERT_TRUE(ok(parsed)) << failure(parsed).detail;
    EXPECT_EQ(value(parsed).entry.http_listen, "127.0.0.1:0");
}

TEST(settings, error_names_file_path_and_value)
{
    const auto parsed = parse_settings(replaced(valid, "127.0.0.1:7101", "nowhere"), "vm.json");
    ASSERT_FALSE(ok(parsed));
    const auto& detail = failure(parsed).detail;
    EXPECT_NE(detail.find("vm.json"), std::string::npos) << detail;
    EXPECT_NE(detail.find("/keeper/address"), std::string::npos) << detail;
    EXPECT_NE(detail.find("nowhere"), std::string::npos) << detail;
}

TEST(settings, rejects_unknown_keys)
{
    EXPECT_FALSE(ok(parse_settings(replaced(valid, "\"vm\":", "\"vmm\": 1, \"vm\":"), "vm.json")));
}

TEST(settings, reads_the_memory_in_megabytes)
{
    const auto text = replaced(
        valid, "\"vm\":", R"("gateway": {"relay_listen": "127.0.0.1:7300", "memory_mb": 260}, "vm":)");
    const auto parsed = parse_settings(text, "vm.json");
    ASSERT_TRUE(ok(parsed)) << failure(parsed).detail;
    EXPECT_EQ(value(parsed).gateway.memory_bytes, std::size_t{260} << 20U);
}

TEST(settings, reads_the_descriptors)
{
    const auto text = replaced(
        valid,
        "\"vm\":", R"("gateway": {"relay_listen": "127.0.0.1:7300", "file_descriptors": 4100}, "vm":)");
    const auto parsed = parse_settings(text, "vm.json");
    ASSERT_TRUE(ok(parsed)) << failure(parsed).detail;
    EXPECT_EQ(value(parsed).gateway.file_descriptors, 4100U);
}

TEST(settings, reads_how_many_batches_run)
{
    const auto text = replaced(
        valid, "\"vm\":", R"("gateway": {"relay_listen": "127.0.0.1:7300", "running_batches": 9}, "vm":)");
    const auto parsed = parse_settings(text, "vm.json");
    ASSERT_TRUE(ok(parsed)) << failure(parsed).detail;
    EXPECT_EQ(value(parsed).gateway.running_batches, 9U);
}

TEST(settings, reads_how_usage_is_reported)
{
    const auto text =
        replaced(valid, "\"platform\":",
                 R"("gateway": {"relay_listen": "127.0.0.1:7300", "duties_address": "127.0.0.1:7400",
                                  "usage_window_s": 5, "usage_due_s": 2.5}, "platform":)");
    const auto parsed = parse_settings(text, "vm.json");
    ASSERT_TRUE(ok(parsed)) << failure(parsed).detail;
    EXPECT_EQ(value(parsed).gateway.duties_address, "127.0.0.1:7400");
    EXPECT_EQ(value(parsed).gateway.usage_window, milliseconds(5000));
    EXPECT_EQ(value(parsed).gateway.usage_due, milliseconds(2500));
}

// Guards against a threshold that the operator sets and that stays at its default.
TEST(settings, reads_the_threshold_of_the_relay)
{
    const auto text =
        replaced(valid, "\"platform\":",
                 R"("gateway": {"relay_listen": "127.0.0.1:7300", "max_direct_pairs": 32}, "platform":)");
    const auto parsed = parse_settings(text, "vm.json");
    ASSERT_TRUE(ok(parsed)) << failure(parsed).detail;
    EXPECT_EQ(value(parsed).gateway.max_direct_pairs, 32U);
}

struct invalid_settings {
    const char* name;
    std::string from;
    std::string to;
    std::string message;
};

class settings_message : public testing::TestWithParam<invalid_settings> {};

TEST_P(settings_message, names_path_expected_and_found)
{
    const auto& wrong = GetParam();
    const auto parsed = parse_settings(replaced(valid, wrong.from, wrong.to), "vm.json");
    ASSERT_FALSE(ok(parsed));
    EXPECT_EQ(failure(parsed).detail, "vm.json: " + wrong.message);
}

INSTANTIATE_TEST_SUITE_P(
    each_rule, settings_message,
    testing::Values(
        invalid_settings{"type", R"("vm-1")", "7",
                         "at /vm: expected a string of at least 1 characters, found 7"},
        invalid_settings{"missing_key", R"("vm": "vm-1",)", "", R"(at /: expected the key "vm", found none)"},
        invalid_settings{"missing_inner_key", R"("peer": "12345678")", R"("x": 1)",
                         R"(at /tokens: expected the key "peer", found none)"},
        invalid_settings{
            "unknown_inner_key", R"("address": "127.0.0.1:7101")",
            R"("address": "127.0.0.1:7101", "seed": [])",
            "at /keeper: expected only the keys address, operator_listen, peer_listen and seeds, "
            "found the unknown key \"seed\""},
        invalid_settings{"pattern_behind_a_reference", "127.0.0.1:7101", "nowhere",
                         R"(at /keeper/address: expected an address as IP:PORT, found "nowhere")"},
        invalid_settings{"item_of_an_array", R"("address": "127.0.0.1:7101")",
                         R"("address": "127.0.0.1:7101", "seeds": ["127.0.0.1:1", 5])",
                         "at /keeper/seeds/1: expected an address as IP:PORT, found 5"},
        invalid_settings{
            "enumeration", R"("vm": "vm-1",)", R"("vm": "vm-1", "log_level": "loud",)",
            "at /log_level: expected \"debug\", \"info\", \"warning\" or \"error\", found \"loud\""},
        invalid_settings{"range", R"("vm": "vm-1",)", R"("vm": "vm-1", "http_threads": 1,)",
                         "at /http_threads: expected an integer from 2 to 64, found 1"},
        invalid_settings{"object_for_a_string", R"("vm-1")", R"({"name": "vm-1"})",
                         R"(at /vm: expected a string of at least 1 characters, found {"name":"vm-1"})"}),
    [](const testing::TestParamInfo<invalid_settings>& each) { return std::string(each.param.name); });

/// The message lists every alternative that the schema allows.
TEST(schema_message, lists_the_alternatives)
{
    constexpr const char* schema = R"({"type": "object", "properties": {"wait": {
        "anyOf": [{"type": "integer", "minimum": 0}, {"enum": ["never"]}]}}})";
    const auto parsed = internal::parse_checked(R"({"wait": true})", schema, "a.json");
    ASSERT_FALSE(ok(parsed));
    EXPECT_EQ(failure(parsed).detail,
              "a.json: at /wait: expected an integer of at least 0 or \"never\", found true");
}

class example_settings : public testing::TestWithParam<const char*> {};

TEST_P(example_settings, are_valid)
{
    const auto loaded = load_settings(std::string(VANILLAGAUGE_EXAMPLES "/") + GetParam() + "/vm.json");
    EXPECT_TRUE(ok(loaded)) << failure(loaded).detail;
}

INSTANTIATE_TEST_SUITE_P(both, example_settings, testing::Values("aphrodisia", "casco-limpo"));

TEST(settings, rejects_text_that_is_not_json)
{
    EXPECT_FALSE(ok(parse_settings("{", "vm.json")));
    EXPECT_FALSE(ok(parse_settings("", "vm.json")));
}

// Guards against a settings file or a stored object that ends the process that describes what is wrong in it.
TEST(settings, rejects_deeply_nested_values)
{
    for (const std::string part : {"\"vm-1\"", "\"12345678\"", "{\"address\": \"127.0.0.1:7101\"}"}) {
        const auto parsed = parse_settings(replaced(valid, part, nested_arrays()), "vm.json");
        ASSERT_FALSE(ok(parsed));
        EXPECT_EQ(failure(parsed).code, error_code::invalid_argument);
        EXPECT_TRUE(failure(parsed).detail.starts_with("vm.json: expected")) << failure(parsed).detail;
    }
    EXPECT_FALSE(ok(check_object("job", "j", nested_arrays())));
}

TEST(settings, rejects_numbers_out_of_range)
{
    for (const auto& odd : odd_counts()) {
        const auto text = replaced(valid, "\"platform\":", "\"drain_time_ms\": " + odd + ", \"platform\":");
        const auto parsed = parse_settings(text, "vm.json");
        ASSERT_FALSE(ok(parsed)) << odd.substr(0, 40);
        EXPECT_TRUE(failure(parsed).detail.starts_with("vm.json: ")) << failure(parsed).detail;
    }
}

TEST(deployment, rejects_duplicate_target_ids)
{
    const std::string target = R"({"id": "a", "address": "127.0.0.1:1", "failure_domain": "x"})";
    const auto parsed =
        parse_deployment("d", R"({"kind": "engine", "targets": [)" + target + "," + target + "]}");
    ASSERT_FALSE(ok(parsed));
    EXPECT_EQ(failure(parsed).code, error_code::invalid_argument);
}

TEST(object_check, rejects_unknown_kinds)
{
    EXPECT_FALSE(ok(check_object("thing", "a", "{}")));
}

} // namespace
} // namespace vanillagauge::config
