#include "deployment.hpp"

#include "observe/trace.hpp"

#include <gtest/gtest.h>

#include <unistd.h>

#include <algorithm>
#include <cstdio>
#include <fstream>
#include <set>

namespace vanillagauge::gateway {
namespace {

using standins::replica_fault;

/// The replica that looks slower gets every fourth request on average; the chance that it gets none of so
/// many is below 10^-49.
constexpr int max_turns = 400;

/// Gateways exchange crash records within this time.
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
                for (const auto& seen : replica->started_requests) {
                    runs += seen.attempt_id == id ? 1 : 0;
                }
            }
            return runs;
        });
    }
    /// The trace context that a replica received with the request.
    std::string trace_of(const std::string& id)
    {
        return inspect_store<std::string>([&](standins::fake_store&) {
            for (const auto* replica : {&first, &second}) {
                for (const auto& seen : replica->started_requests) {
                    if (seen.attempt_id == id) {
                        return seen.traceparent;
                    }
                }
            }
            return std::string{};
        });
    }
    /// Whether to send more requests because the first replica has scripted faults left.
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

TEST(forwarding, returns_replica_response_unchanged)
{
    one_gateway all;
    const auto outcome = all.send(all.served.address(), make_request("/safe/1", "a1"));
    const auto& response = std::get<net::http_response>(outcome);
    EXPECT_EQ(response.status, 200);
    EXPECT_EQ(response.fields.find("Attempt-Id"), "a1");
    EXPECT_TRUE(response.fields.find("Server-Stamp").starts_with("stamp-r"));
    EXPECT_TRUE(response.body.ends_with("to hello"));
}

TEST(forwarding, answers_404_only_with_configuration)
{
    one_gateway all;
    EXPECT_EQ(all.status_of(all.served.address(), make_request("/none/1", "a1")), 404);
    deployment empty;
    empty.modify_store([](standins::fake_store& store) { store.remove("config", "main"); });
    auto& served = empty.add_gateway("b");
    EXPECT_EQ(empty.status_of(served.address(), make_request("/none/1", "a1")), 503);
    EXPECT_FALSE(served.ready());
}

// Guards against a caller that sees a replica's reset of an idempotent request.
TEST(forwarding, retries_idempotent_request_at_another_replica)
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

// Guards against a second run of a request that is not idempotent, and a response that claims it has not run.
TEST(forwarding, never_retries_unsafe_request_in_doubt)
{
    one_gateway all;
    all.script({replica_fault::reset});
    const auto status = all.status_of(all.served.address(), make_request("/once/1", "a1"));
    EXPECT_TRUE(status == 502 || status == 504) << status;
    EXPECT_EQ(all.runs_of("a1"), 1U);
}

TEST(forwarding, retries_request_that_replica_did_not_run)
{
    one_gateway all;
    all.modify_store([&](standins::fake_store&) { all.first.script = {replica_fault::shed}; });
    for (int turn = 0; turn < 4 || all.first_has_faults_left(turn); ++turn) {
        EXPECT_EQ(all.status_of(all.served.address(), make_request("/once/1", "a" + std::to_string(turn))),
                  200);
    }
    EXPECT_FALSE(all.first_has_faults_left(0));
}

// Guards against a late refusal, or one without Retry-After, when every replica sheds load.
TEST(forwarding, refuses_with_retry_after_if_all_replicas_shed)
{
    one_gateway all;
    all.script({replica_fault::shed, replica_fault::shed});
    const auto outcome = all.send(all.served.address(), make_request("/once/1", "a1"));
    const auto& response = std::get<net::http_response>(outcome);
    EXPECT_EQ(response.status, 503);
    EXPECT_TRUE(response.fields.contains("Retry-After"));
    EXPECT_EQ(all.runs_of("a1"), 0U);
}

// Guards against delivery of a response with another request's id or without the authentication code.
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

TEST(forwarding, enforces_route_timeout)
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

TEST(forwarding, propagates_remaining_deadline)
{
    one_gateway all;
    EXPECT_EQ(all.status_of(all.served.address(), make_request("/once/1", "a1")), 200);
    const auto left = all.inspect_store<std::string>([&](standins::fake_store&) {
        for (const auto* replica : {&all.first, &all.second}) {
            for (const auto& seen : replica->started_requests) {
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

// Guards against a replica that works on after the client has disconnected.
TEST(forwarding, cancels_at_replica_when_client_disconnects)
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

TEST(forwarding, sends_nothing_to_draining_replica)
{
    one_gateway all;
    all.put_replica(all.first, "plain", "draining");
    all.modify_store([](standins::fake_store& store) { store.put("servers", "odd", {{"Service", 7}}); });
    std::this_thread::sleep_for(milliseconds(300));
    const auto before = all.inspect_store<std::size_t>(
        [&](standins::fake_store&) { return all.first.started_requests.size(); });
    for (int turn = 0; turn < 6; ++turn) {
        EXPECT_EQ(all.status_of(all.served.address(), make_request("/safe/1", "a" + std::to_string(turn))),
                  200);
    }
    EXPECT_EQ(all.inspect_store<std::size_t>(
                  [&](standins::fake_store&) { return all.first.started_requests.size(); }),
              before);
}

TEST(forwarding, applies_configuration_after_store_history_loss)
{
    one_gateway all;
    all.modify_store([](standins::fake_store& store) { store.compact_history(); });
    auto next = all.inspect_store<nlohmann::json>(
        [](standins::fake_store& store) { return store.find("config", "main")["Specification"]; });
    next["Version"] = 5;
    next["Routes"][0]["PathPrefix"] = "/moved/";
    all.modify_store([&](standins::fake_store& store) { store.put("config", "main", next); });
    EXPECT_TRUE(deployment::eventually(
        [&] { return all.status_of(all.served.address(), make_request("/moved/1", "m")) == 200; }));
    EXPECT_EQ(all.status_of(all.served.address(), make_request("/safe/1", "a1")), 404);
}

/// Four gateways and one replica, which is replaced by the next one where the test says so.
struct replaced_replica : deployment {
    std::vector<standins::fake_replica*> replicas{&add_replica("r1", "plain")};

    replaced_replica()
    {
        for (const auto* vm : {"a", "b", "c", "d"}) {
            add_gateway(vm);
        }
        for (auto& served : gateways) {
            EXPECT_TRUE(eventually([&] { return served->ready(); }));
        }
        EXPECT_TRUE(eventually([&] {
            return gateways.back()->query<std::size_t>(
                       [](gateway& asked) { return asked.addresses().front_addresses.size(); }) == 4;
        }));
    }
    /// Returns once no gateway knows another replica.
    void replace_replica()
    {
        auto& leaving = *replicas.back();
        replicas.push_back(&add_replica("r" + std::to_string(replicas.size() + 1), "plain"));
        EXPECT_TRUE(eventually([this] { return all_know(2); }));
        modify_store([&](standins::fake_store& store) { store.remove("servers", leaving.id()); });
        EXPECT_TRUE(eventually([this] { return all_know(1); }));
    }
    void set_script(const std::vector<replica_fault>& faults)
    {
        modify_store([&](standins::fake_store&) { replicas.back()->script = faults; });
    }
    /// How many requests each replica has begun to run.
    std::vector<std::size_t> runs()
    {
        return inspect_store<std::vector<std::size_t>>([this](standins::fake_store&) {
            std::vector<std::size_t> counts;
            for (const auto* replica : replicas) {
                counts.push_back(replica->started_requests.size());
            }
            return counts;
        });
    }

private:
    bool all_know(std::size_t count)
    {
        return std::all_of(gateways.begin(), gateways.end(),
                           [count](const auto& served) { return replicas_known(*served) == count; });
    }
};

// Guards against a request that crashes replicas and is retried by its caller at one gateway after the other,
// each of which would allow it two more.
TEST(forwarding, quarantines_crashing_request_at_every_gateway)
{
    replaced_replica all;
    for (std::size_t place = 0; place < 3; ++place) {
        if (place > 0) {
            all.replace_replica();
        }
        all.set_script({replica_fault::reset});
        all.status_of(all.gateways[place]->address(), make_request("/once/bad", "p" + std::to_string(place)));
    }
    const std::vector<std::size_t> one_run_each{1, 1, 1};
    ASSERT_EQ(all.runs(), one_run_each);
    std::this_thread::sleep_for(crash_sync_time);
    for (const auto& gateway : all.gateways) {
        EXPECT_EQ(all.status_of(gateway->address(), make_request("/once/bad", "q")), 429);
    }
    EXPECT_EQ(all.runs(), one_run_each);
    // Other requests are still served.
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

// Guards against a caller's trace that breaks at the gateway.
TEST(forwarding, writes_span_per_request_and_attempt)
{
    const auto path = testing::TempDir() + "vg-gateway-spans-" + std::to_string(getpid());
    const std::string trace(32, 'a');
    observe::open_span_file(path, "vg-gateway", "a");
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

/// The data of each event of a stream's body.
std::vector<std::string> event_data(const std::string& body)
{
    std::vector<std::string> data;
    net::event_reader reader;
    for (const auto& event : reader.feed(body)) {
        data.push_back(event.data);
    }
    return data;
}

// Guards against a lost or repeated event when a replica fails within an event and another one resumes the
// stream.
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
        EXPECT_EQ(event_data(response.body),
                  (std::vector<std::string>{id + "-1", id + "-2", id + "-3", id + "-4"}));
    }
    EXPECT_FALSE(faults_left());
}

/// Two engines that pause within each run, for longer than some callers wait.
struct pausing_engines : deployment {
    running_gateway& served = add_gateway("a");

    pausing_engines()
    {
        const auto engines = {&add_replica("e1", "lm"), &add_replica("e2", "lm")};
        EXPECT_TRUE(eventually([this] { return events_of("warm", "/talk/warm").size() == 4; }));
        modify_store([&](standins::fake_store&) {
            for (auto* engine : engines) {
                engine->pause = milliseconds(5500);
            }
        });
    }
    std::vector<std::string> events_of(const std::string& id, const std::string& path)
    {
        auto request = make_stream_request(id, path);
        request.fields.set("Deadline-Ms", "20000");
        const auto outcome = send(served.address(), request, seconds(20));
        const auto* response = std::get_if<net::http_response>(&outcome);
        return response != nullptr ? event_data(response->body) : std::vector<std::string>{};
    }
};

// Guards against the end of a stream whose replica pauses, sooner than its route and its caller ask for.
TEST(forwarding, waits_for_a_silent_stream_that_only_its_replica_can_end)
{
    pausing_engines all;
    EXPECT_EQ(all.events_of("s", "/talk/1"), (std::vector<std::string>{"s-1", "s-2", "s-3", "s-4"}));
}

// Guards against a resumable stream that is lost since each replica in turn pauses for longer than the limit.
TEST(forwarding, waits_for_a_silent_stream_that_no_other_replica_can_continue)
{
    pausing_engines all;
    EXPECT_EQ(all.events_of("r", "/tale/1"), (std::vector<std::string>{"r-1", "r-2", "r-3", "r-4"}));
}

// Guards against a refusal that says "not run" for a request that one replica ran before another refused it.
TEST(forwarding, refuses_nothing_that_an_earlier_replica_ran)
{
    constexpr int turns = 60;
    one_gateway all;
    std::set<std::string> refused;
    for (int turn = 0; turn < turns; ++turn) {
        const auto id = "q" + std::to_string(turn);
        all.modify_store([&](standins::fake_store&) {
            all.first.script = {replica_fault::reset};
            all.second.script = {replica_fault::shed};
        });
        if (all.status_of(all.served.address(), make_request("/safe/" + id, id)) == 503) {
            refused.insert(id);
        }
        all.modify_store([&](standins::fake_store&) {
            all.first.script.clear();
            all.second.script.clear();
        });
        for (const auto* good : {"a", "b", "c", "d"}) { // so that the first replica stays in use
            all.status_of(all.served.address(), make_request("/safe/" + id + good, id + good));
        }
    }
    const auto ran = all.inspect_store<std::vector<standins::received_request>>(
        [&](standins::fake_store&) { return all.first.started_requests; });
    int lost = 0;
    for (const auto& request : ran) {
        lost += request.fault == replica_fault::reset ? 1 : 0;
        EXPECT_FALSE(refused.contains(request.attempt_id)) << request.attempt_id;
    }
    EXPECT_GT(lost, 0);
}

} // namespace
} // namespace vanillagauge::gateway
