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

const std::string sound_report =
    R"({"born":11,"Busy":false,"Sequence":12,"Models":[{"Name":"m","Version":13}]})";

result<gateway::batch_submission> submission_of(const std::string& body)
{
    gateway::route chosen;
    chosen.name = "r";
    chosen.services = {{"s", 1}};
    return to_submission(chosen, "b1", "o1", body);
}

result<gateway::engine_report> report_of(const std::string& body)
{
    net::http_response response;
    response.status = 200;
    response.body = body;
    return replica_protocol().parse_report(response);
}

// Guards against a batch that waits for 2^64 groups, or needs such weights, since a number was negative.
TEST(untrusted_json, batches_with_numbers_out_of_range_are_refused)
{
    ASSERT_TRUE(ok(submission_of(sound_batch)));
    for (const std::string member :
         {"\"Step\":7", "\"MinVersion\":6", "\"DesiredCount\":1", "\"Tokens\":14"}) {
        const auto name = member.substr(0, member.find(':') + 1);
        for (const auto& odd : odd_counts()) {
            const auto refused = submission_of(replaced(sound_batch, member, name + odd));
            ASSERT_FALSE(ok(refused)) << name << odd.substr(0, 40);
            EXPECT_EQ(failure(refused).code, error_code::invalid_argument);
            EXPECT_EQ(failure(refused).ran, run_state::not_run);
        }
    }
}

TEST(untrusted_json, batches_with_deeply_nested_members_are_refused)
{
    for (const std::string value : {"\"m\"", "\"i1\"", "\"/p/1\"", "\"5,9\"", "\"aGk=\"", "\"g\""}) {
        const auto refused = submission_of(replaced(sound_batch, value, nested_arrays()));
        ASSERT_FALSE(ok(refused)) << value;
        EXPECT_EQ(failure(refused).code, error_code::invalid_argument);
    }
    EXPECT_FALSE(ok(submission_of(replaced(sound_batch, "{", "{\"Unknown\":" + nested_arrays() + ","))));
    EXPECT_FALSE(ok(submission_of(nested_arrays())));
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

// Guards against an engine that seems to have the weights of a version near 2^64, so that none are loaded.
TEST(untrusted_json, reports_with_numbers_out_of_range_are_refused)
{
    ASSERT_TRUE(ok(report_of(sound_report)));
    for (const std::string number : {"11", "12", "13"}) {
        for (const auto& odd : odd_counts()) {
            const auto refused = report_of(replaced(sound_report, number, odd));
            ASSERT_FALSE(ok(refused)) << number << " " << odd.substr(0, 40);
            EXPECT_EQ(failure(refused).code, error_code::unavailable);
        }
    }
}

TEST(untrusted_json, reports_with_deeply_nested_members_are_refused)
{
    for (const std::string value : {"false", "\"m\"", "[{\"Name\":\"m\",\"Version\":13}]"}) {
        EXPECT_FALSE(ok(report_of(replaced(sound_report, value, nested_arrays())))) << value;
    }
    EXPECT_FALSE(ok(report_of(nested_arrays())));
}

// Guards against an engine that is lost for one member of its report that no one reads.
TEST(untrusted_json, reports_with_odd_members_beside_the_read_ones_are_read)
{
    for (const auto& odd : odd_counts()) {
        EXPECT_TRUE(ok(report_of(replaced(sound_report, "{", "{\"Unknown\":" + odd + ","))))
            << odd.substr(0, 40);
    }
}

// Guards against figures of a replica whose sum overflows, so that the busiest replica seems idle.
TEST(untrusted_json, load_figures_out_of_range_are_none)
{
    for (const std::string odd :
         {"2147483647,2147483647,8", "-1,2,8", "1,2,99999999999", "1,-2147483648,8"}) {
        net::http_fields fields;
        fields.add("Replica-Load", odd);
        EXPECT_FALSE(replica_protocol().parse_metadata(200, fields, "a").load) << odd;
    }
}

} // namespace
} // namespace vanillagauge::platform
