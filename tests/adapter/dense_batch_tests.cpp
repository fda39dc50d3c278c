// Batches whose documents would take many times their text.
#include "../counted_memory.hpp"
#include "platform/batch_json.hpp"
#include "json/json.hpp"

#include <gtest/gtest.h>

#include <string>

namespace vanillagauge::platform {
namespace {

constexpr std::size_t dense_bytes = 8'000'000;

std::string dense_array()
{
    std::string text = "[{}";
    while (text.size() < dense_bytes) {
        text += ",{}";
    }
    return text + "]";
}

gateway::route chosen_route()
{
    gateway::route chosen;
    chosen.services = {{"s", 1}};
    return chosen;
}

std::string batch_with(const std::string& member, const std::string& item_member)
{
    return R"({"Step":7,)" + member + R"("Items":[{"Id":"i1",)" + item_member + R"("Path":"/p/1"}]})";
}

// Guards against a batch of a few megabytes that takes more memory than a machine has.
TEST(dense_batches, unknown_member_takes_no_more_than_its_text)
{
    const auto dense = R"("Other":)" + dense_array() + ",";
    for (const auto& text : {batch_with(dense, ""), batch_with("", dense)}) {
        const auto before = held_bytes();
        reset_peak();
        const auto read = to_submission(chosen_route(), "b1", "", text);
        EXPECT_LE(peak_bytes() - before, 2 * text.size());
        ASSERT_TRUE(ok(read)) << failure(read).detail;
        EXPECT_EQ(value(read).items.size(), 1U);
        EXPECT_EQ(value(read).header.step, 7U);
    }
}

TEST(dense_batches, member_that_is_read_is_refused)
{
    const auto member = [](const std::string& name) { return "\"" + name + "\":" + dense_array() + ","; };
    for (const auto& text : {batch_with(member("Model"), ""), batch_with(member("Items"), ""),
                             batch_with("", member("Headers")), batch_with("", member("Body"))}) {
        const auto before = held_bytes();
        reset_peak();
        const auto read = to_submission(chosen_route(), "b1", "", text);
        ASSERT_FALSE(ok(read));
        EXPECT_EQ(failure(read).code, error_code::invalid_argument);
        EXPECT_NE(failure(read).detail.find("expected JSON"), std::string::npos) << failure(read).detail;
        EXPECT_LE(peak_bytes() - before, max_json_memory(text.size()) * 3 / 2);
    }
}

} // namespace
} // namespace vanillagauge::platform
