#include "config/config.hpp"
#include "template_renderer.hpp"

#include <gtest/gtest.h>

#include <fstream>
#include <iterator>

namespace vanillagauge::config {
namespace {

using nlohmann::json;

/// All fields that the template uses, with the values of DEPLOY.md.
json example_fields()
{
    return json::parse(R"({
      "Node": "front-piraeus-1", "Zone": "piraeus", "Ip": "10.1.0.10", "DataDirectory": "/data",
      "InternalPorts": [7300, 7315], "Seeds": ["10.1.0.10:8262", "10.2.0.14:8262"],
      "ListenAddresses": {"Front": "10.1.0.10:8263", "Ready": "10.1.0.10:8268",
                          "Control": "10.1.0.10:8262", "Directory": "10.1.0.10:8260"},
      "Limits": {"CpuShare": 0.25, "MemoryMb": 260, "FileDescriptors": 4100},
      "Bounds": {"GraceS": 8, "LeaseMs": 3000, "UsageWindowS": 5, "UsageLateS": 2.5},
      "Platform": {"Address": "10.200.1.7:8266"}, "Cloud": {"Address": "10.200.1.8:8266"}
    })");
}

result<settings> load(const json& fields)
{
    std::ifstream file(VANILLAGAUGE_DEPLOY "/gateway.json.template");
    const std::string text(std::istreambuf_iterator<char>(file), {});
    return parse_settings(template_renderer(fields).render(text), "node.toml");
}

gateway_settings gateway_with(const char* path, const json& field)
{
    auto fields = example_fields();
    fields[json::json_pointer(path)] = field;
    const auto loaded = load(fields);
    EXPECT_TRUE(ok(loaded)) << path << " " << field << ": " << failure(loaded).detail;
    return ok(loaded) ? value(loaded).gateway : gateway_settings{};
}

TEST(gateway_template, passes_the_fields_on)
{
    const auto loaded = load(example_fields());
    ASSERT_TRUE(ok(loaded)) << failure(loaded).detail;
    const auto& all = value(loaded);
    EXPECT_EQ(all.vm, "front-piraeus-1");
    EXPECT_EQ(all.failure_domain, "piraeus");
    EXPECT_EQ(all.keeper.seeds, (std::vector<std::string>{"10.1.0.10:8262", "10.2.0.14:8262"}));
    EXPECT_EQ(all.gateway.stop_grace, milliseconds(8000));
    EXPECT_EQ(all.gateway.order_lease, milliseconds(3000));
    EXPECT_EQ(all.gateway.usage_window, milliseconds(5000));
    EXPECT_EQ(all.gateway.usage_due, milliseconds(2500));
    EXPECT_EQ(all.gateway.cpu_share, 0.25);
    EXPECT_EQ(all.gateway.memory_bytes, std::size_t{260} << 20U);
    EXPECT_EQ(all.gateway.file_descriptors, 4100U);
}

class optional_field : public testing::TestWithParam<const char*> {};

// Guards against a deployment without this field, on which no gateway starts.
TEST_P(optional_field, may_be_missing)
{
    const json::json_pointer path(GetParam());
    auto fields = example_fields();
    fields[path.parent_pointer()].erase(path.back());
    const auto loaded = load(fields);
    EXPECT_TRUE(ok(loaded)) << failure(loaded).detail;
}

INSTANTIATE_TEST_SUITE_P(each, optional_field,
                         testing::Values("/Zone", "/DataDirectory", "/Seeds", "/ListenAddresses",
                                         "/ListenAddresses/Front", "/ListenAddresses/Ready",
                                         "/ListenAddresses/Control", "/ListenAddresses/Directory", "/Limits",
                                         "/Limits/CpuShare", "/Limits/MemoryMb", "/Limits/FileDescriptors",
                                         "/Bounds", "/Bounds/GraceS", "/Bounds/LeaseMs",
                                         "/Bounds/UsageWindowS", "/Bounds/UsageLateS", "/Cloud",
                                         "/Cloud/Address"));

class numeric_field : public testing::TestWithParam<const char*> {};

// Guards against figures of a deployment, of any size that TOML has, with which no gateway starts.
TEST_P(numeric_field, may_have_any_size)
{
    for (const auto& figure : {json(0), json(1), json(1e-12), json(0.05), json(12.75), json(86401),
                               json(0x7fffffffffffffff), json(1e300)}) {
        gateway_with(GetParam(), figure);
    }
}

INSTANTIATE_TEST_SUITE_P(each, numeric_field,
                         testing::Values("/Limits/CpuShare", "/Limits/MemoryMb", "/Limits/FileDescriptors",
                                         "/Bounds/GraceS", "/Bounds/LeaseMs", "/Bounds/UsageWindowS",
                                         "/Bounds/UsageLateS"));

TEST(gateway_template, missing_figures_take_defaults)
{
    auto fields = example_fields();
    fields.erase("Bounds");
    fields.erase("Limits");
    const auto loaded = load(fields);
    ASSERT_TRUE(ok(loaded)) << failure(loaded).detail;
    const auto& gateway = value(loaded).gateway;
    const gateway_settings defaults;
    EXPECT_EQ(gateway.stop_grace, defaults.stop_grace);
    EXPECT_EQ(gateway.order_lease, defaults.order_lease);
    EXPECT_EQ(gateway.usage_window, defaults.usage_window);
    EXPECT_EQ(gateway.usage_due, defaults.usage_due);
    EXPECT_EQ(gateway.cpu_share, defaults.cpu_share);
    EXPECT_EQ(gateway.memory_bytes, defaults.memory_bytes);
    EXPECT_EQ(gateway.file_descriptors, defaults.file_descriptors);
}

// Guards against durations and counts that overflow.
TEST(gateway_template, figures_out_of_range_are_limited)
{
    constexpr milliseconds year = std::chrono::hours(24) * 366;
    EXPECT_EQ(gateway_with("/Bounds/LeaseMs", 20).order_lease, milliseconds(100));
    EXPECT_EQ(gateway_with("/Bounds/LeaseMs", 600000).order_lease, milliseconds(600000));
    EXPECT_EQ(gateway_with("/Bounds/LeaseMs", 1e300).order_lease, milliseconds(600000));
    EXPECT_EQ(gateway_with("/Bounds/UsageLateS", 0.05).usage_due, milliseconds(100));
    EXPECT_EQ(gateway_with("/Bounds/UsageLateS", 1e300).usage_due, year);
    EXPECT_EQ(gateway_with("/Bounds/UsageWindowS", 1e300).usage_window, year);
    EXPECT_EQ(gateway_with("/Bounds/GraceS", 1e300).stop_grace, year);
    EXPECT_EQ(gateway_with("/Limits/CpuShare", 1e300).cpu_share, 1024);
    EXPECT_EQ(gateway_with("/Limits/MemoryMb", 1e300).memory_bytes, std::size_t{1} << 44U);
    EXPECT_EQ(gateway_with("/Limits/FileDescriptors", 1e300).file_descriptors, std::size_t{1} << 24U);
}

TEST(gateway_template, seeds_may_be_empty)
{
    auto fields = example_fields();
    fields["Seeds"] = json::array();
    const auto loaded = load(fields);
    ASSERT_TRUE(ok(loaded)) << failure(loaded).detail;
    EXPECT_TRUE(value(loaded).keeper.seeds.empty());
}

} // namespace
} // namespace vanillagauge::config
