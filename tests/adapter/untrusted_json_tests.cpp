#include "../odd_json.hpp"
#include "platform/batch_json.hpp"
#include "platform/replica_protocol.hpp"

#include <gtest/gtest.h>

#include <cmath>

namespace vanillagauge::platform {
namespace {

const std::string sound_batch = R"({"Step":7,"Model":"m","MinVersion":6,"DesiredCount":1,"Items":[
    {"Id":"i1","Path":"/p/1","Headers":{"Token-Counts":"5,9","Length-Hint":"120"},"Body":"aGk=","Tokens":14,
     "Group":"g"}]})";

result<gateway::batch_submission> submission_of(const std::string& body)
{
    gateway::route chosen;
    chosen.name = "r";
    chosen.services = {{"s", 1}};
    return to_submission(chosen, "b1", "o1", body);
}

// Guards against an accepted batch that no gateway can read back: JSON holds no number that is not finite.
TEST(untrusted_json, batches_with_odd_length_hints_can_be_read_back)
{
    for (const std::string odd : {"nan", "inf", "-inf", "-5", "1e308", "1e999", "x", ""}) {
        auto body = replaced(sound_batch, "\"120\"", "\"" + odd + "\"");
        body = replaced(body, "\"5,9\"", "\"5," + odd + "\"");
        const auto read = submission_of(body);
        ASSERT_TRUE(ok(read)) << odd;
        const auto& items = value(read).items;
        EXPECT_TRUE(std::isfinite(items[0].length_hint) && items[0].length_hint >= 0) << odd;
        EXPECT_TRUE(std::isfinite(items[0].max_output) && items[0].max_output >= 0) << odd;
        auto header = value(read).header;
        header.work = gateway::expected_output({items[0], items[0], items[0]});
        EXPECT_TRUE(ok(gateway::header_from_json("b1", gateway::to_json(header), {}))) << odd;
        for (const auto& part : gateway::to_parts(items, 1000)) {
            EXPECT_TRUE(ok(gateway::items_from_json(part))) << odd;
        }
    }
}

} // namespace
} // namespace vanillagauge::platform
