#include "deployment.hpp"

#include "observe/trace.hpp"

#include <gtest/gtest.h>

#include <unistd.h>

#include <cstdio>
#include <fstream>

namespace vanillagauge::gateway {
namespace {

using standins::replica_fault;

/// Of two replicas the one that looks slower is tried for every fourth request on average; that its turn has
/// not come after so many has a chance below 10^-49.
constexpr int max_turns = 400;

/// Gateways know of each other's lost replicas within this time.
constexpr milliseconds crash_sync_time{2500};

struct one_gateway : deployment {
    standins::fake_replica& first = add_replica("r1", "plain");
    standins::fake_replica& second = add_replica("r2", "plain");
    running_gateway& served = add_gateway("a");

    one_gateway()
    {
        EXPECT_TRUE(eventually([this] {
            return served.ready() && status_of(served.address(), make_request("/safe/warm", "warm")) == 200;
        }));
    }
    std::size_t runs_of(const std::string& id)
    {
        return inspect_store<std::size_t>([&](standins::fake_store&) {
            std::size_t runs = 0;
            for (const auto* replica : {&first, &second}) {
                for (const auto& seen : replica->ran) {
                    runs += seen.attempt_id == id ? 1 : 0;
                }
            }
            return runs;
        });
    }
    /// The trace context with which a replica got the request.
    std::string trace_of(const std::string& id)
    {
        return inspect_store<std::string>([&](standins::fake_store&) {
            for (const auto* replica : {&first, &second}) {
                for (const auto& seen : replica->ran) {
                    if (seen.attempt_id == id) {
                        return seen.traceparent;
                    }
                }
            }
            return std::string{};
        });
    }
    /// Whether to go on with requests: the first replica has not yet shown all its faults.
    bool first_has_faults_left(int turn)
    {
        return turn < max_turns &&
               inspect_store<bool>([this](standins::fake_store&) { return !first.script.empty(); });
    }
    void script(std::vector<replica_fault> faults)
    {
        modify_store([&](standins::fake_store&) {
            first.script = faults;
            second.script = faults;
        });
    }
};

TEST(forwarding, passes_the_replicas_answer_on_unchanged)
{
    one_gateway all;
    const auto outcome = all.send(all.served.address(), make_request("/safe/1", "a1"));
    const auto& response = std::get<net::http_response>(outcome);
    EXPECT_EQ(response.status, 200);
    EXPECT_EQ(response.fields.find("Attempt-Id"), "a1");
    EXPECT_TRUE(response.fields.find("Server-Stamp").starts_with("stamp-r"));
    EXPECT_TRUE(response.body.ends_with("to hello"));
}

TEST(forwarding, answers_404_only_where_a_configuration_is_known)
{
    one_gateway all;
    EXPECT_EQ(all.status_of(all.served.address(), make_request("/none/1", "a1")), 404);
    deployment empty;
    empty.modify_store([](standins::fake_store& store) { store.remove("config", "main"); });
    auto& served = empty.add_gateway("b");
    EXPECT_EQ(empty.status_of(served.address(), make_request("/none/1", "a1")), 503);
    EXPECT_FALSE(served.ready());
}

// A replica resets the connection after it has run the request. A check may run again elsewhere, so its
// caller never notices.
TEST(forwarding, repeats_an_idempotent_request_at_another_replica)
{
    one_gateway all;
    all.modify_store([&](standins::fake_store&) { all.first.script = {replica_fault::reset}; });
    std::size_t runs = 0;
    std::size_t turns = 0;
    for (int turn = 0; turn < 8 || all.first_has_faults_left(turn); ++turn) {
        const auto id = "a" + std::to_string(turn);
        EXPECT_EQ(all.status_of(all.served.address(), make_request("/safe/1", id)), 200);
        runs += all.runs_of(id);
        ++turns;
    }
    EXPECT_EQ(runs, turns + 1) << "one of them was repeated";
}

// A charge is cut off by its replica. It may have run: it must not be sent again, and the answer must not
// promise that it did not run.
TEST(forwarding, never_repeats_a_request_that_may_have_run_once)
{
    one_gateway all;
    all.script({replica_fault::reset});
    const auto status = all.status_of(all.served.address(), make_request("/once/1", "a1"));
    EXPECT_TRUE(status == 502 || status == 504) << status;
    EXPECT_EQ(all.runs_of("a1"), 1U);
}

TEST(forwarding, takes_a_request_elsewhere_that_a_replica_did_not_run)
{
    one_gateway all;
    all.modify_store([&](standins::fake_store&) { all.first.script = {replica_fault::shed}; });
    for (int turn = 0; turn < 4 || all.first_has_faults_left(turn); ++turn) {
        EXPECT_EQ(all.status_of(all.served.address(), make_request("/once/1", "a" + std::to_string(turn))),
                  200);
    }
    EXPECT_FALSE(all.first_has_faults_left(0));
}

// Every replica refuses. The caller hears at once that nothing ran and when to come back.
TEST(forwarding, refuses_at_once_and_says_when_to_come_back)
{
    one_gateway all;
    all.script({replica_fault::shed, replica_fault::shed});
    const auto outcome = all.send(all.served.address(), make_request("/once/1", "a1"));
    const auto& response = std::get<net::http_response>(outcome);
    EXPECT_EQ(response.status, 503);
    EXPECT_TRUE(response.fields.contains("Retry-After"));
    EXPECT_EQ(all.runs_of("a1"), 0U);
}

// A replica answers with another request's id, or without its authentication code. Such an answer reaches
// nobody.
TEST(forwarding, drops_answers_that_belong_to_another_request)
{
    for (const auto fault : {replica_fault::other_attempt, replica_fault::no_stamp}) {
        one_gateway all;
        all.modify_store([&](standins::fake_store&) { all.first.script = {fault}; });
        for (int turn = 0; turn < 8 || all.first_has_faults_left(turn); ++turn) {
            const auto id = "a" + std::to_string(turn);
            const auto outcome = all.send(all.served.address(), make_request("/safe/1", id));
            const auto& response = std::get<net::http_response>(outcome);
            EXPECT_EQ(response.status, 200);
            EXPECT_EQ(response.fields.find("Attempt-Id"), id);
            EXPECT_TRUE(response.fields.contains("Server-Stamp"));
        }
        EXPECT_FALSE(all.first_has_faults_left(0));
    }
}

TEST(forwarding, answers_when_the_routes_time_is_over)
{
    one_gateway all;
    all.script({replica_fault::silent});
    const auto began = steady::now();
    const auto status = all.status_of(all.served.address(), make_request("/once/1", "a1"));
    const auto took = steady::now() - began;
    EXPECT_EQ(status, 504);
    EXPECT_GE(took, milliseconds(900));
    EXPECT_LT(took, milliseconds(1500));
}

TEST(forwarding, hands_on_what_is_left_of_the_deadline)
{
    one_gateway all;
    EXPECT_EQ(all.status_of(all.served.address(), make_request("/once/1", "a1")), 200);
    const auto left = all.inspect_store<std::string>([&](standins::fake_store&) {
        for (const auto* replica : {&all.first, &all.second}) {
            for (const auto& seen : replica->ran) {
                if (seen.attempt_id == "a1") {
                    return seen.deadline_ms;
                }
            }
        }
        return std::string();
    });
    EXPECT_LE(std::stoi(left), 1000) << "the route's time-out is shorter than the caller's";
    EXPECT_GT(std::stoi(left), 500);
}

// The client leaves while the replica works: the replica must hear of it.
TEST(forwarding, stops_the_replica_when_its_client_leaves)
{
    one_gateway all;
    all.modify_store([&](standins::fake_store&) {
        all.first.work_time = milliseconds(400);
        all.second.work_time = milliseconds(400);
    });
    all.send(all.served.address(), make_request("/safe/1", "a1"), milliseconds(100));
    EXPECT_TRUE(deployment::eventually([&] {
        return all.inspect_store<int>(
                   [&](standins::fake_store&) { return all.first.cancelled + all.second.cancelled; }) == 1;
    }));
    EXPECT_EQ(all.runs_of("a1"), 1U);
}

TEST(forwarding, sends_nothing_to_a_replica_that_drains_or_is_gone)
{
    one_gateway all;
    all.put_replica(all.first, "plain", "draining");
    all.modify_store([](standins::fake_store& store) { store.put("servers", "odd", {{"Service", 7}}); });
    std::this_thread::sleep_for(milliseconds(300));
    const auto before =
        all.inspect_store<std::size_t>([&](standins::fake_store&) { return all.first.ran.size(); });
    for (int turn = 0; turn < 6; ++turn) {
        EXPECT_EQ(all.status_of(all.served.address(), make_request("/safe/1", "a" + std::to_string(turn))),
                  200);
    }
    EXPECT_EQ(all.inspect_store<std::size_t>([&](standins::fake_store&) { return all.first.ran.size(); }),
              before);
}

TEST(forwarding, takes_over_new_configurations_also_after_the_history_was_lost)
{
    one_gateway all;
    all.modify_store([](standins::fake_store& store) { store.forget_history(); });
    auto next = all.inspect_store<nlohmann::json>(
        [](standins::fake_store& store) { return store.find("config", "main")["Specification"]; });
    next["Version"] = 5;
    next["Routes"][0]["PathPrefix"] = "/moved/";
    all.modify_store([&](standins::fake_store& store) { store.put("config", "main", next); });
    EXPECT_TRUE(deployment::eventually(
        [&] { return all.status_of(all.served.address(), make_request("/moved/1", "m")) == 200; }));
    EXPECT_EQ(all.status_of(all.served.address(), make_request("/safe/1", "a1")), 404);
}

/// A request for a stream: only those carry counts of tokens.
net::http_request make_stream_request(const std::string& id)
{
    auto request = make_request("/flow/1", id);
    request.fields.add("Token-Counts", "5,9");
    return request;
}

// A request resets the connection of each replica that begins to run it. Its caller brings it again, each
// time at another gateway. After a few losses it is refused everywhere as not run; each gateway by itself
// would let it take two replicas more.
TEST(forwarding, holds_a_request_that_loses_replicas_at_every_gateway)
{
    deployment all;
    std::vector<standins::fake_replica*> replicas;
    for (const auto* id : {"r1", "r2", "r3", "r4", "r5", "r6"}) {
        replicas.push_back(&all.add_replica(id, "plain"));
    }
    for (const auto* vm : {"a", "b", "c", "d"}) {
        auto& served = all.add_gateway(vm);
        EXPECT_TRUE(deployment::eventually([&] { return served.ready(); }));
    }
    EXPECT_TRUE(deployment::eventually([&] {
        return all.gateways.back()->query<std::size_t>(
                   [](gateway& asked) { return asked.addresses().front_addresses.size(); }) == 4;
    }));
    all.modify_store([&](standins::fake_store&) {
        for (auto* replica : replicas) {
            replica->script.assign(20, replica_fault::reset);
        }
    });
    struct losses {
        std::size_t runs = 0;
        std::size_t replicas = 0;
    };
    const auto seen = [&] {
        return all.inspect_store<losses>([&](standins::fake_store&) {
            losses counted;
            for (const auto* replica : replicas) {
                counted.runs += replica->ran.size();
                counted.replicas += replica->ran.empty() ? 0 : 1;
            }
            return counted;
        });
    };
    for (int turn = 0; turn < 50 && seen().replicas < 3; ++turn) {
        const auto id = "p" + std::to_string(turn);
        all.status_of(all.gateways[static_cast<std::size_t>(turn) % 3]->address(),
                      make_request("/once/bad", id));
    }
    ASSERT_EQ(seen().replicas, 3U);
    const auto before = seen().runs;
    std::this_thread::sleep_for(crash_sync_time);
    for (const auto& gateway : all.gateways) {
        EXPECT_EQ(all.status_of(gateway->address(), make_request("/once/bad", "q")), 429);
    }
    EXPECT_EQ(seen().runs, before);
    // Others are served all the while.
    all.modify_store([&](standins::fake_store&) {
        for (auto* replica : replicas) {
            replica->script.clear();
        }
    });
    EXPECT_EQ(all.status_of(all.gateways.front()->address(), make_request("/once/good", "g")), 200);
}

std::vector<nlohmann::json> spans_in(const std::string& path)
{
    std::vector<nlohmann::json> spans;
    std::ifstream file(path);
    for (std::string line; std::getline(file, line);) {
        spans.push_back(nlohmann::json::parse(line)["resourceSpans"][0]["scopeSpans"][0]["spans"][0]);
    }
    return spans;
}

// A caller's trace goes on through the gateway to the replica: one hop for the request, one for each attempt.
TEST(forwarding, writes_a_span_for_each_hop_of_a_callers_trace)
{
    const auto path = testing::TempDir() + "vg-gateway-spans-" + std::to_string(getpid());
    const std::string trace(32, 'a');
    observe::start_spans(path, "vg-gateway", "a");
    one_gateway all;
    auto request = make_request("/once/1", "traced");
    request.fields.add("traceparent", "00-" + trace + "-" + std::string(16, 'b') + "-01");
    EXPECT_EQ(all.status_of(all.served.address(), request), 200);
    std::vector<nlohmann::json> spans;
    EXPECT_TRUE(deployment::eventually([&] {
        spans = spans_in(path);
        std::erase_if(spans, [&](const nlohmann::json& span) { return span["traceId"] != trace; });
        return spans.size() == 2;
    }));
    std::remove(path.c_str());
    ASSERT_EQ(spans.size(), 2U);
    const auto& attempt = spans.front();
    const auto& hop = spans.back();
    EXPECT_EQ(attempt["name"], "attempt");
    EXPECT_EQ(attempt["parentSpanId"], hop["spanId"]);
    EXPECT_EQ(hop["name"], "forward");
    EXPECT_EQ(hop["parentSpanId"], std::string(16, 'b'));
    EXPECT_EQ(all.trace_of("traced"), "00-" + trace + "-" + attempt["spanId"].get<std::string>() + "-01");
}

// A replica breaks off in the middle of an event. The client sees one stream, whole and in order, because
// another replica goes on behind the last event that was whole.
TEST(forwarding, resumes_a_stream_at_another_replica)
{
    deployment all;
    auto& one = all.add_replica("e1", "lm");
    all.add_replica("e2", "lm");
    auto& served = all.add_gateway("a");
    ASSERT_TRUE(deployment::eventually([&] {
        return served.ready() && all.status_of(served.address(), make_stream_request("warm")) == 200;
    }));
    all.modify_store([&](standins::fake_store&) { one.script = {replica_fault::cut_stream}; });
    const auto faults_left = [&] {
        return all.inspect_store<bool>([&](standins::fake_store&) { return !one.script.empty(); });
    };
    for (int turn = 0; turn < 8 || (turn < max_turns && faults_left()); ++turn) {
        const auto id = "a" + std::to_string(turn);
        const auto outcome = all.send(served.address(), make_stream_request(id));
        const auto& response = std::get<net::http_response>(outcome);
        net::event_reader reader;
        std::vector<std::string> data;
        for (const auto& event : reader.feed(response.body)) {
            data.push_back(event.data);
        }
        EXPECT_EQ(data, (std::vector<std::string>{id + "-1", id + "-2", id + "-3", id + "-4"}));
    }
    EXPECT_FALSE(faults_left());
}

} // namespace
} // namespace vanillagauge::gateway
