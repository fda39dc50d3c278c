#include "platform/batch_json.hpp"
#include "platform/replica_protocol.hpp"

#include <gtest/gtest.h>

namespace vanillagauge::platform {
namespace {

TEST(replica_protocol, forwards_a_request_with_attempt_fields_and_without_hop_fields)
{
    net::http_request request;
    request.method = "POST";
    request.target = "/p/1?x=2";
    request.body = "body";
    request.fields.add("Host", "h");
    request.fields.add("Attempt-Id", "a1");
    request.fields.add("Deadline-Ms", "2000");
    request.fields.add("Connection", "keep-alive, X-Hop");
    request.fields.add("X-Hop", "1");
    request.fields.add("X-Kept", "2");
    gateway::attempt_request attempt;
    attempt.attempt_id = "a1";
    attempt.replica_id = "i-1";
    attempt.time_left = milliseconds(900);
    const auto sent = replica_protocol().replica_request(request, attempt);
    EXPECT_EQ(sent.target, "/p/1?x=2");
    EXPECT_EQ(sent.body, "body");
    EXPECT_EQ(sent.fields.find("Deadline-Ms"), "900");
    EXPECT_EQ(sent.fields.find("Expect-Instance"), "i-1");
    EXPECT_EQ(sent.fields.find("X-Kept"), "2");
    EXPECT_FALSE(sent.fields.contains("X-Hop"));
    EXPECT_FALSE(sent.fields.contains("Connection"));
    EXPECT_FALSE(sent.fields.contains("Last-Event-Id"));
}

// Guards against a caller's key at a replica, and against an organisation that a caller or an item names.
TEST(replica_protocol, replaces_the_callers_key_by_the_organisation)
{
    net::http_request request;
    request.fields.add("Api-Key", "key-a");
    request.fields.add("tenant", "forged");
    gateway::attempt_request attempt;
    attempt.attempt_id = "a1";
    attempt.replica_id = "i-1";
    EXPECT_FALSE(replica_protocol().replica_request(request, attempt).fields.contains("Tenant"));
    attempt.organisation = "first";
    const auto sent = replica_protocol().replica_request(request, attempt);
    EXPECT_EQ(sent.fields.find("Tenant"), "first");
    EXPECT_FALSE(sent.fields.contains("Api-Key"));
}

TEST(replica_protocol, reports_not_run_only_where_the_replica_states_it)
{
    const replica_protocol protocol;
    net::http_fields fields;
    EXPECT_FALSE(protocol.parse_metadata(503, fields, "a").not_run);
    EXPECT_TRUE(protocol.parse_metadata(421, fields, "a").not_run);
    fields.add("Not-Executed", "1");
    fields.add("Attempt-Id", "b");
    fields.add("Replica-Load", "3,1,8");
    const auto metadata = protocol.parse_metadata(503, fields, "a");
    EXPECT_TRUE(metadata.not_run);
    EXPECT_EQ(metadata.echo, gateway::attempt_echo::other);
    EXPECT_EQ(metadata.load->waiting, 1);
    net::http_fields odd;
    odd.add("Replica-Load", "many");
    EXPECT_FALSE(protocol.parse_metadata(200, odd, "a").load);
}

// Guards against a late second copy of another request's response, or of a refusal without an id, that is
// taken for an attempt's own.
TEST(replica_protocol, takes_only_an_own_response_for_the_attempt)
{
    const auto answers = [](int status, const net::http_fields& fields, bool reused) {
        return replica_protocol().parse_metadata(status, fields, "a").answers_attempt(reused);
    };
    net::http_fields own;
    own.add("Attempt-Id", "a");
    net::http_fields other;
    other.add("Attempt-Id", "b");
    other.add("Not-Executed", "1");
    net::http_fields anonymous_refusal;
    anonymous_refusal.add("Not-Executed", "1");
    const net::http_fields anonymous;
    for (const bool reused : {false, true}) {
        EXPECT_TRUE(answers(500, own, reused));
        EXPECT_FALSE(answers(503, other, reused));
        EXPECT_FALSE(answers(200, anonymous, reused));
    }
    EXPECT_TRUE(answers(503, anonymous_refusal, false));
    EXPECT_FALSE(answers(503, anonymous_refusal, true));
}

// Guards against a malformed slowdown that is used, or that hides the valid figures before it.
TEST(replica_protocol, drops_a_malformed_slowdown_alone)
{
    const auto load_of = [](const std::string& text) {
        net::http_fields fields;
        fields.add("Replica-Load", text);
        return replica_protocol().parse_metadata(200, fields, "a").load;
    };
    EXPECT_EQ(load_of("3,1,8,250")->slowdown, 2.5);
    EXPECT_EQ(load_of("3,1,8,10000")->slowdown, 100.0);
    for (const char* odd : {"", ",", ",0", ",-150", ",10001", ",nan", ",inf", ",150x", ",1e999", ",150,2"}) {
        const auto load = load_of(std::string("3,1,8") + odd);
        ASSERT_TRUE(load) << odd;
        EXPECT_EQ(load->capacity, 8) << odd;
        EXPECT_EQ(load->slowdown, std::nullopt) << odd;
    }
}

TEST(replica_protocol, responds_with_not_run_statuses_only_where_it_is_certain)
{
    const replica_protocol protocol;
    const auto status = [&protocol](error_code code, run_state ran) {
        return protocol.error_response({code, ran, "why", milliseconds(250)}).status;
    };
    EXPECT_EQ(status(error_code::unauthenticated, run_state::not_run), 401);
    EXPECT_EQ(status(error_code::unavailable, run_state::not_run), 503);
    EXPECT_EQ(status(error_code::quarantined, run_state::not_run), 429);
    EXPECT_EQ(status(error_code::unavailable, run_state::in_doubt), 502);
    EXPECT_EQ(status(error_code::deadline_exceeded, run_state::in_doubt), 504);
    EXPECT_EQ(status(error_code::cancelled, run_state::ran), 502);
    EXPECT_EQ(protocol.error_response({error_code::overloaded, run_state::not_run, "", milliseconds(250)})
                  .fields.find("Retry-After"),
              "0.250");
}

TEST(to_submission, parses_a_batch_and_refuses_malformed_ones)
{
    gateway::route chosen;
    chosen.name = "r";
    chosen.services = {{"s", 1}};
    const auto read =
        to_submission(chosen, "b1", "o1", R"({"Step":7,"Model":"m","MinVersion":6,"DesiredCount":1,"Items":[
        {"Id":"i1","Path":"/p/1","Headers":{"Token-Counts":"5,9","Length-Hint":"120"},"Body":"aGk=","Tokens":14,
         "Group":"g"}]})");
    ASSERT_TRUE(ok(read));
    EXPECT_EQ(value(read).header.organisation, "o1");
    EXPECT_EQ(value(read).header.min_version, 6U);
    EXPECT_EQ(value(read).items[0].length_hint, 120);
    EXPECT_EQ(value(gateway::decode_base64(value(read).items[0].body_base64)), "hi");
    const char* const bad[] = {
        "",
        "{",
        "[]",
        R"({"Items":7})",
        R"({"Items":[{"Path":"/p"}]})",
        R"({"Items":[{"Id":"i","Path":"/p","Body":"***"}]})",
        R"({"Items":[{"Id":"i","Path":"/p"},{"Id":"i","Path":"/q"}]})",
        R"({"Items":[{"Id":"i","Path":"/p","Headers":{"a":1}}]})",
        R"({"Items":[{"Id":"i","Path":"/p","ScoringFunction":7}]})",
        R"({"Items":[{"Id":"i","Path":"/p","ScoringFunction":{"Host":"h","Path":"/s"}}]})",
        R"({"Items":[{"Id":"i","Path":"/p","ScoringFunction":{"Id":"s","Host":"h","Path":"/s","Body":"***"}}]})",
        R"({"Items":[{"Id":"i","Path":"/p","ScoringFunction":{"Id":"s","Host":"h","Path":"/s"}},
                     {"Id":"j","Path":"/p","ScoringFunction":{"Id":"s","Host":"h","Path":"/s"}}]})",
    };
    for (const auto* text : bad) {
        const auto refused = to_submission(chosen, "b1", "o1", text);
        ASSERT_FALSE(ok(refused)) << text;
        EXPECT_EQ(failure(refused).code, error_code::invalid_argument) << text;
    }
}

TEST(to_submission, parses_the_scoring_call_of_an_item)
{
    gateway::route chosen;
    chosen.services = {{"s", 1}};
    const auto read =
        to_submission(chosen, "b1", "o1", R"({"Items":[{"Id":"i1","Path":"/p/1","ScoringFunction":
        {"Id":"s1","Host":"h","Path":"/score/1","Body":"aGk="}},{"Id":"i2","Path":"/p/2","ScoringFunction":null}]})");
    ASSERT_TRUE(ok(read));
    const gateway::scoring_call expected{"s1", "h", "/score/1", "aGk="};
    EXPECT_EQ(value(read).items[0].scoring, expected);
    EXPECT_EQ(value(read).items[1].scoring, std::nullopt);
}

TEST(to_page, contains_a_score_only_for_scored_results)
{
    gateway::result_page page;
    page.total = 2;
    page.results = {{"i1", gateway::item_state::completed, "t", {1}, "code"},
                    {"i2", gateway::item_state::terminated, "", {}, ""}};
    const auto read = nlohmann::json::parse(to_page(page));
    EXPECT_EQ(read["Results"][0]["Score"], "code");
    EXPECT_FALSE(read["Results"][1].contains("Score"));
}

} // namespace
} // namespace vanillagauge::platform
