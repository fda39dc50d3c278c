// Replicas that send a response once more, late, on a kept connection.
#include "batch_deployment.hpp"

namespace vanillagauge::gateway {
namespace {

using nlohmann::json;
using standins::replica_fault;

struct late_copies : testing::Test {
    deployment cluster;
    standins::fake_replica& engine = cluster.add_replica("e1", "lm");
    standins::fake_replica& plain = cluster.add_replica("s1", "plain");
    running_gateway& served = cluster.add_gateway("a");

    late_copies()
    {
        engine.repeats_answers = true;
        plain.repeats_answers = true;
        EXPECT_TRUE(deployment::eventually([this] { return served.ready(); }));
    }
    void script(standins::fake_replica& replica, std::vector<replica_fault> faults)
    {
        cluster.modify_store([&](standins::fake_store&) { replica.script = std::move(faults); });
    }
    json only_result(const std::string& id)
    {
        return vanillagauge::gateway::only_result(cluster, served, id);
    }
    std::size_t runs_at(standins::fake_replica& replica)
    {
        return cluster.inspect_store<std::size_t>(
            [&](standins::fake_store&) { return replica.started_requests.size(); });
    }
};

// Guards against an item terminated for fewer failures than its route allows, because a copy of its first
// failure counts as the second one.
TEST_F(late_copies, count_no_failure_of_an_item_twice)
{
    script(engine, {replica_fault::fail});
    EXPECT_EQ(cluster.status_of(served.address(), make_one_item("b1")), 202);
    const auto result = only_result("b1");
    EXPECT_EQ(result.value("State", ""), "completed") << result;
    EXPECT_EQ(runs_at(engine), 2U);
}

// Guards against a run that is dropped and begun again, because a copy of an earlier refusal is taken for its
// response.
TEST_F(late_copies, do_not_repeat_the_refusal_of_an_item)
{
    script(engine, {replica_fault::shed});
    EXPECT_EQ(cluster.status_of(served.address(), make_one_item("b1")), 202);
    const auto result = only_result("b1");
    EXPECT_EQ(result.value("State", ""), "completed") << result;
    EXPECT_EQ(runs_at(engine), 1U);
}

// Guards against the text of an earlier run, made by older weights, that is listed for an item that comes
// again in a later batch.
TEST_F(late_copies, do_not_repeat_the_text_of_an_earlier_run)
{
    EXPECT_EQ(cluster.status_of(served.address(), make_one_item("b1")), 202);
    EXPECT_EQ(only_result("b1")["Versions"], json::array({1}));
    cluster.modify_store([&](standins::fake_store&) { engine.version = 2; });
    auto again = make_one_item("b2");
    auto body = json::parse(again.body);
    body["Items"][0]["Id"] = "b1-i0";
    again.body = body.dump();
    EXPECT_EQ(cluster.status_of(served.address(), std::move(again)), 202);
    EXPECT_EQ(only_result("b2")["Versions"], json::array({2}));
}

// Guards against an item terminated for fewer failed scoring calls than its route allows, because a copy of
// the first failure counts as the second one.
TEST_F(late_copies, count_no_failure_of_a_scoring_call_twice)
{
    script(plain, {replica_fault::fail, replica_fault::none, replica_fault::fail});
    EXPECT_EQ(cluster.status_of(served.address(), make_one_item("b1", true)), 202);
    const auto result = only_result("b1");
    EXPECT_EQ(result.value("State", ""), "completed") << result;
    EXPECT_EQ(result.value("Score", ""), "stamp-s1") << result;
}

// Guards against a caller that gets the failure of its first attempt in place of the response to the second.
TEST_F(late_copies, do_not_repeat_the_failure_of_a_request)
{
    script(plain, {replica_fault::fail});
    EXPECT_EQ(cluster.status_of(served.address(), make_request("/safe/1", "a1")), 500);
    EXPECT_EQ(cluster.status_of(served.address(), make_request("/safe/1", "a1")), 200);
}

// Guards against a caller that is told "not run" of a request that runs, because a copy of the refusal of its
// first attempt is taken for the response to the second.
TEST_F(late_copies, do_not_repeat_the_refusal_of_a_request)
{
    script(plain, {replica_fault::shed});
    EXPECT_EQ(cluster.status_of(served.address(), make_request("/safe/1", "a1")), 503);
    EXPECT_EQ(cluster.status_of(served.address(), make_request("/safe/1", "a1")), 200);
}

// Guards against a caller that is told "not run" of a request that runs, because a refusal without an id,
// sent before on the connection that was kept, is taken for the response.
TEST_F(late_copies, do_not_refuse_a_request_by_a_refusal_without_an_id)
{
    EXPECT_EQ(cluster.status_of(served.address(), make_request("/safe/1", "a1")), 200);
    script(plain, {replica_fault::nameless_shed});
    EXPECT_EQ(cluster.status_of(served.address(), make_request("/safe/1", "a2")), 502);
    EXPECT_EQ(runs_at(plain), 2U);
}

// Guards against items that are sent to an engine while it loads weights and refuses them, because the copy
// of an item's failure is taken for the refusal of the order.
TEST_F(late_copies, do_not_hide_a_load)
{
    cluster.modify_store([&](standins::fake_store&) {
        engine.repeats_answers_before_orders = true;
        engine.always_fail = {"b1-i0"};
        engine.load_time = milliseconds(600);
    });
    EXPECT_EQ(cluster.status_of(served.address(), make_one_item("b1")), 202);
    EXPECT_EQ(only_result("b1").value("State", ""), "terminated");
    cluster.modify_store([](standins::fake_store& store) {
        store.put("versions", "m", {{"Model", "m"}, {"Version", 2}});
    });
    EXPECT_TRUE(deployment::eventually([&] {
        return cluster.inspect_store<bool>([&](standins::fake_store&) { return !engine.orders.empty(); });
    }));
    EXPECT_EQ(cluster.status_of(served.address(), make_one_item("b2")), 202);
    EXPECT_EQ(only_result("b2").value("State", ""), "completed");
    EXPECT_EQ(cluster.inspect_store<int>([&](standins::fake_store&) { return engine.refused_streams; }), 0);
}

} // namespace
} // namespace vanillagauge::gateway
