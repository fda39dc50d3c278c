#include "batch_deployment.hpp"

namespace vanillagauge::gateway {
namespace {

using nlohmann::json;
using standins::replica_fault;

net::http_request make_scored(const std::string& id)
{
    return make_batch(id, 1, true);
}

struct scored_deployment : batch_deployment {
    standins::fake_replica& scorer = add_replica("s1", "plain");

    std::vector<standins::received_request> scoring_runs()
    {
        return inspect_store<std::vector<standins::received_request>>(
            [&](standins::fake_store&) { return scorer.started_requests; });
    }
};

void expect_scored(const std::vector<json>& results, const std::string& score)
{
    expect_complete(results);
    for (const auto& entry : results) {
        EXPECT_EQ(entry.value("Score", std::string()), score) << entry;
    }
}

TEST(scored_batches, publish_each_result_with_its_score)
{
    scored_deployment cluster;
    auto& served = cluster.ready_gateway("a");
    EXPECT_EQ(cluster.status_of(served.address(), make_scored("b1")), 202);
    expect_scored(cluster.read_all({served.address()}, "b1"), "stamp-s1");
    const auto runs = cluster.scoring_runs();
    ASSERT_EQ(runs.size(), item_count);
    for (const auto& run : runs) {
        EXPECT_EQ(run.method, "POST");
        EXPECT_EQ(run.target, "/score/" + run.attempt_id.substr(std::string("b1-s").size()));
        EXPECT_EQ(run.body, "text");
        EXPECT_FALSE(run.deadline_ms.empty());
    }
}

// Calls are reset, refused, failed, and answered for another attempt or without a code. Each is retried; no
// such response becomes a score.
TEST(scored_batches, retry_calls_that_return_no_score)
{
    scored_deployment cluster;
    auto& served = cluster.ready_gateway("a");
    cluster.modify_store([&](standins::fake_store&) {
        cluster.scorer.script = {replica_fault::reset,    replica_fault::shed, replica_fault::other_attempt,
                                 replica_fault::no_stamp, replica_fault::fail, replica_fault::wrong_stamp};
    });
    EXPECT_EQ(cluster.status_of(served.address(), make_scored("b1")), 202);
    expect_scored(cluster.read_all({served.address()}, "b1"), "stamp-s1");
}

// Guards against an item that is never scored, because several replicas crashed under its call.
TEST(scored_batches, make_a_call_again_under_which_replicas_crashed)
{
    constexpr int crashes = 3;
    scored_deployment cluster;
    auto& other = cluster.add_replica("s2", "plain");
    auto& served = cluster.ready_gateway("a");
    cluster.modify_store([&](standins::fake_store&) {
        cluster.scorer.resets_left = {{"b1-s1", crashes}};
        other.resets_left = cluster.scorer.resets_left;
    });
    EXPECT_EQ(cluster.status_of(served.address(), make_scored("b1")), 202);
    const auto results = cluster.read_all({served.address()}, "b1");
    expect_complete(results);
    for (const auto& entry : results) {
        EXPECT_TRUE(entry.contains("Score")) << entry;
    }
}

// One call is answered 500 each time. Its item is terminated after the attempts that the route allows; the
// others are not delayed.
TEST(scored_batches, terminate_an_item_after_a_permanent_failure)
{
    scored_deployment cluster;
    auto& served = cluster.ready_gateway("a");
    cluster.modify_store([&](standins::fake_store&) { cluster.scorer.always_fail = {"b1-s2"}; });
    EXPECT_EQ(cluster.status_of(served.address(), make_scored("b1")), 202);
    for (const auto& entry : cluster.read_all({served.address()}, "b1")) {
        const bool failed = entry["Id"] == "b1-i2";
        EXPECT_EQ(entry["State"], failed ? "terminated" : "completed");
        EXPECT_EQ(entry.contains("Score"), !failed);
    }
    const auto runs = cluster.scoring_runs();
    EXPECT_EQ(std::count_if(runs.begin(), runs.end(),
                            [](const standins::received_request& run) { return run.attempt_id == "b1-s2"; }),
              3);
}

// The scoring service has no replica while the texts are generated. No result is published without a score;
// all are once a replica is ready.
TEST(scored_batches, wait_for_an_unavailable_scoring_service)
{
    scored_deployment cluster;
    cluster.put_replica(cluster.scorer, "plain", "draining");
    auto& served = cluster.ready_gateway("a");
    EXPECT_EQ(cluster.status_of(served.address(), make_scored("b1")), 202);
    std::this_thread::sleep_for(milliseconds(700));
    EXPECT_TRUE(cluster.body_of(served.address(), make_read("b1", 0))["Results"].empty());
    cluster.put_replica(cluster.scorer, "plain", "ready");
    expect_scored(cluster.read_all({served.address()}, "b1"), "stamp-s1");
}

// The owner crashes with texts complete but not scored. Another gateway obtains both again.
TEST(scored_batches, are_scored_by_another_gateway_after_a_crash)
{
    scored_deployment cluster;
    auto& first = cluster.ready_gateway("a");
    auto& second = cluster.ready_gateway("b");
    cluster.modify_store([&](standins::fake_store&) { cluster.scorer.work_time = milliseconds(500); });
    EXPECT_EQ(cluster.status_of(first.address(), make_scored("b1")), 202);
    EXPECT_TRUE(deployment::eventually([&] { return !cluster.scoring_runs().empty(); }));
    first.kill();
    cluster.modify_store([&](standins::fake_store&) { cluster.scorer.work_time = milliseconds(0); });
    expect_scored(cluster.read_all({second.address()}, "b1"), "stamp-s1");
}

// The trainer ends the batch while its calls wait for capacity at a busy replica. No further call is made.
TEST(scored_batches, make_no_call_after_their_end)
{
    scored_deployment cluster;
    auto& served = cluster.ready_gateway("a");
    cluster.modify_store([&](standins::fake_store&) { cluster.scorer.work_time = milliseconds(400); });
    EXPECT_EQ(cluster.status_of(served.address(), make_scored("b1")), 202);
    EXPECT_TRUE(deployment::eventually([&] { return !cluster.scoring_runs().empty(); }));
    EXPECT_EQ(cluster.status_of(served.address(), make_end("b1")), 200);
    const auto before = cluster.scoring_runs().size();
    EXPECT_LT(before, item_count);
    std::this_thread::sleep_for(milliseconds(900));
    EXPECT_EQ(cluster.scoring_runs().size(), before);
}

// Six texts are complete at once at a slow replica with a capacity of four. Scoring uses one of them; the
// rest is left to callers.
TEST(scored_batches, leave_capacity_to_callers)
{
    scored_deployment cluster;
    auto& served = cluster.ready_gateway("a");
    constexpr milliseconds work{120};
    cluster.modify_store([&](standins::fake_store&) { cluster.scorer.work_time = work; });
    EXPECT_EQ(cluster.status_of(served.address(), make_scored("b1")), 202);
    expect_scored(cluster.read_all({served.address()}, "b1"), "stamp-s1");
    const auto runs = cluster.scoring_runs();
    ASSERT_EQ(runs.size(), item_count);
    for (std::size_t index = 1; index < runs.size(); ++index) {
        EXPECT_GE(runs[index].received_at - runs[index - 1].received_at, work);
    }
}

// The refusal must come at once and guarantee that no part of the batch runs.
TEST(scored_batches, are_refused_without_a_scoring_route)
{
    scored_deployment cluster;
    auto& served = cluster.ready_gateway("a");
    auto request = make_scored("b1");
    auto body = json::parse(request.body);
    body["Items"][3]["ScoringFunction"]["Host"] = "elsewhere";
    request.body = body.dump();
    const auto outcome = cluster.send(served.address(), std::move(request));
    const auto& response = std::get<net::http_response>(outcome);
    EXPECT_EQ(response.status, 503);
    EXPECT_NE(json::parse(response.body)["detail"].get<std::string>().find("b1-s3"), std::string::npos);
    EXPECT_EQ(cluster.inspect_store<std::size_t>(
                  [](standins::fake_store& store) { return store.count("batches"); }),
              0U);
}

} // namespace
} // namespace vanillagauge::gateway
