// Organisations with keys, through whole gateways.
#include "organisation_deployment.hpp"

#include <algorithm>
#include <atomic>
#include <future>
#include <thread>

namespace vanillagauge::gateway {
namespace {

// Guards against the caller's key at a replica, and against a request for whichever organisation the caller
// names itself.
TEST(organisations, replica_gets_the_organisation_and_never_the_key)
{
    organisations_deployment all;
    auto& served = all.serving_gateway("a");
    auto request = with_key(make_request("/safe/1", "a1"), "key-c");
    request.fields.add("Tenant", "first");
    EXPECT_EQ(all.status_of(served.address(), request), 200);
    const auto seen = all.seen_by(all.plain, "a1");
    EXPECT_EQ(seen.organisation, "second");
    EXPECT_FALSE(seen.has_api_key);
}

TEST(organisations, public_route_takes_no_key_and_names_nobody)
{
    organisations_deployment all;
    auto& served = all.serving_gateway("a");
    auto request = make_request("/once/1", "a1");
    request.fields.add("Tenant", "first");
    EXPECT_EQ(all.status_of(served.address(), request), 200);
    EXPECT_EQ(all.seen_by(all.plain, "a1").organisation, "");
    EXPECT_EQ(all.status_of(served.address(), with_key(make_request("/once/1", "a2"), "key-x")), 200);
    EXPECT_FALSE(all.seen_by(all.plain, "a2").has_api_key);
}

TEST(organisations, refuses_unknown_missing_and_doubled_keys)
{
    organisations_deployment all;
    auto& served = all.serving_gateway("a");
    EXPECT_EQ(all.status_of(served.address(), make_request("/safe/1", "a1")), 401);
    EXPECT_EQ(all.status_of(served.address(), with_key(make_request("/safe/1", "a2"), "key-x")), 401);
    EXPECT_EQ(all.status_of(served.address(), with_key(make_request("/none/1", "a3"), "key-x")), 404);
    auto doubled = with_key(make_request("/safe/1", "a4"), "key-a");
    doubled.fields.add("Api-Key", "key-x");
    EXPECT_EQ(all.status_of(served.address(), doubled), 400);
    for (const auto* id : {"a1", "a2", "a4"}) {
        EXPECT_EQ(all.seen_by(all.plain, id).attempt_id, "") << id << " has run";
    }
}

// Guards against a key that is taken away while the store turns this gateway away, and still opens it.
TEST(organisations, key_taken_away_is_refused_while_the_store_is_away_for_this_gateway)
{
    organisations_deployment all;
    all.serving_gateway("a");
    all.serving_gateway("b");
    auto& cut = all.add_gateway_at_second("c");
    ASSERT_TRUE(deployment::eventually([&] { return cut.ready(); }));
    all.modify_store([](standins::fake_store& store) { store.faults.second_silent = true; });
    all.put_organisations({{"first", {"key-b", "key-n"}}, {"second", {"key-c"}}});
    EXPECT_TRUE(deployment::eventually([&] {
        return all.status_of(cut.address(), with_key(make_request("/safe/1", "a1"), "key-a")) == 401;
    }));
    EXPECT_EQ(all.status_of(cut.address(), with_key(make_request("/safe/1", "a2"), "key-n")), 200);
}

// Guards against 401 from a gateway that cannot know yet which keys are in force.
TEST(organisations, gateway_without_configuration_answers_503)
{
    deployment empty;
    empty.modify_store([](standins::fake_store& store) { store.remove("config", "main"); });
    auto& served = empty.add_gateway("a");
    EXPECT_EQ(empty.status_of(served.address(), with_key(make_request("/safe/1", "a1"), "key-a")), 503);
    EXPECT_EQ(empty.status_of(served.address(), with_key(make_read("b1", 0), "key-a")), 503);
}

// Guards against results and bodies in the hands of another organisation.
TEST(organisations, batch_is_for_the_keys_of_its_submitter_alone)
{
    organisations_deployment all;
    auto& one = all.serving_gateway("a");
    auto& other = all.serving_gateway("b");
    EXPECT_EQ(all.status_of(one.address(), make_batch("b1")), 401);
    EXPECT_EQ(all.status_of(one.address(), with_key(make_batch("b1"), "key-a")), 202);
    EXPECT_EQ(all.status_of(other.address(), with_key(make_batch("b1"), "key-b")), 202);
    EXPECT_EQ(all.status_of(other.address(), with_key(make_batch("b1"), "key-c")), 400);
    for (const auto* gateway : {&one, &other}) {
        EXPECT_EQ(all.status_of(gateway->address(), with_key(make_read("b1", 0), "key-b")), 200);
        EXPECT_EQ(all.status_of(gateway->address(), with_key(make_read("b1", 0), "key-c")), 404);
        EXPECT_EQ(all.status_of(gateway->address(), with_key(make_read("b1", 0), "key-x")), 401);
        EXPECT_EQ(all.status_of(gateway->address(), make_read("b1", 0)), 401);
        EXPECT_EQ(all.status_of(gateway->address(), with_key(make_end("b1"), "key-c")), 404);
        net::http_request body;
        body.target = "/api/items/b1?Id=b1-i0";
        body.fields.add("Host", "h");
        EXPECT_EQ(all.status_of(gateway->address(), with_key(body, "key-c")), 404);
        EXPECT_EQ(all.status_of(gateway->address(), with_key(body, "key-a")), 200);
    }
    EXPECT_EQ(all.status_of(other.address(), with_key(make_end("b1"), "key-b")), 200);
}

// Guards against an organisation that is told "accepted" of another's batch, which its gateway learns of from
// a peer while its own call to the store hangs.
TEST(organisations, batch_stored_meanwhile_by_another_is_not_accepted_for_this_one)
{
    organisations_deployment all;
    auto& first = all.serving_gateway("a");
    auto& second = all.add_gateway_at_second("b");
    EXPECT_TRUE(deployment::eventually([&] {
        return second.ready() &&
               all.status_of(second.address(), with_key(make_request("/safe/w", "w2"), "key-c")) == 200;
    }));
    all.modify_store([](standins::fake_store& store) { store.faults.second_silent = true; });
    auto answer = std::async(std::launch::async, [&] {
        return all.status_of(second.address(), with_key(make_batch("b1"), "key-c"));
    });
    std::this_thread::sleep_for(milliseconds(100));
    EXPECT_EQ(all.status_of(first.address(), with_key(make_batch("b1"), "key-a")), 202);
    EXPECT_EQ(answer.get(), 400);
}

// Guards against a successor that runs a batch for nobody: its items reach replicas with the organisation of
// the submitter, whose key is gone by then.
TEST(organisations, batch_runs_for_its_submitter_after_a_takeover_and_without_its_key)
{
    organisations_deployment all;
    all.modify_store([&](standins::fake_store&) {
        all.one.event_interval = milliseconds(400);
        all.two.event_interval = milliseconds(400);
    });
    auto& first = all.serving_gateway("a");
    EXPECT_EQ(all.status_of(first.address(), with_key(make_batch("b1"), "key-a")), 202);
    first.kill();
    all.put_organisations({{"first", {"key-n"}}, {"second", {"key-c"}}});
    auto& successor = all.ready_gateway("b");
    EXPECT_TRUE(deployment::eventually([&] {
        const auto page = all.body_of(successor.address(), with_key(make_read("b1", 0), "key-n"));
        return page.is_object() && page.contains("Results") && page["Results"].size() == item_count;
    }));
    all.modify_store([&](standins::fake_store&) {
        for (const auto* engine : {&all.one, &all.two}) {
            for (const auto& seen : engine->started_requests) {
                EXPECT_EQ(seen.organisation, "first");
                EXPECT_FALSE(seen.has_api_key);
            }
        }
    });
}

/// Requests of one organisation, sent one after another, and what became of them.
struct caller_load {
    int sent = 0;
    int served = 0;
    duration longest{0};

    void send(organisations_deployment& all, const std::string& address, const std::string& id,
              const std::string& key)
    {
        const auto begun = steady::now();
        const auto status = all.status_of(address, with_key(make_request("/safe/" + id, id), key));
        ++sent;
        served += status == 200 ? 1 : 0;
        longest = std::max(longest, steady::now() - begun);
    }
};

// Guards against an organisation whose few requests wait behind those of one that floods the same service, or
// are refused for them.
TEST(organisations, small_one_is_served_while_a_large_one_floods)
{
    constexpr int flooding_callers = 48;
    constexpr int small_requests = 60;
    constexpr milliseconds work_time{20};
    organisations_deployment all;
    all.modify_store([&](standins::fake_store&) { all.plain.work_time = work_time; });
    auto& served = all.serving_gateway("a");
    std::atomic<bool> over{false};
    std::vector<std::future<caller_load>> flood;
    flood.reserve(flooding_callers);
    for (int caller = 0; caller < flooding_callers; ++caller) {
        flood.push_back(std::async(std::launch::async, [&, caller] {
            caller_load load;
            while (!over) {
                const auto id = "f" + std::to_string(caller) + "-" + std::to_string(load.sent);
                load.send(all, served.address(), id, "key-a");
            }
            return load;
        }));
    }
    std::this_thread::sleep_for(milliseconds(500)); // the queue is long
    caller_load small;
    for (int turn = 0; turn < small_requests; ++turn) {
        small.send(all, served.address(), "s" + std::to_string(turn), "key-c");
    }
    over = true;
    caller_load large;
    for (auto& caller : flood) {
        const auto load = caller.get();
        large.sent += load.sent;
        large.served += load.served;
        large.longest = std::max(large.longest, load.longest);
    }
    EXPECT_EQ(small.served, small.sent);
    EXPECT_LT(small.longest, large.longest);
}

} // namespace
} // namespace vanillagauge::gateway
