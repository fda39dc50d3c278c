#include "batch_deployment.hpp"

#include <gtest/gtest.h>

namespace vanillagauge::gateway {
namespace {

using nlohmann::json;
using standins::replica_fault;

/// Each is ready and knows all of them.
void expect_discovered(const std::vector<running_gateway*>& gateways)
{
    for (auto* served : gateways) {
        EXPECT_TRUE(deployment::eventually([&] {
            return served->ready() && served->query<std::size_t>([](gateway& instance) {
                return instance.addresses().front_addresses.size();
            }) == gateways.size();
        }));
    }
}

TEST(batches, are_accepted_once_run_and_listed)
{
    batch_deployment cluster;
    auto& served = cluster.ready_gateway("a");
    EXPECT_EQ(cluster.status_of(served.address(), make_batch("b1")), 202);
    EXPECT_EQ(cluster.status_of(served.address(), make_batch("b1")), 202);
    const auto results = cluster.read_all({served.address()}, "b1");
    expect_complete(results);
    const auto again = cluster.body_of(served.address(), make_read("b1", 0));
    EXPECT_EQ(again["Total"], item_count);
    EXPECT_EQ(again["Results"], json(results));
    const auto middle = cluster.body_of(served.address(), make_read("b1", 4));
    EXPECT_EQ(middle["Results"][0], results[4]);
    EXPECT_EQ(middle["NextToken"], item_count);
}

TEST(batches, answer_404_only_where_the_store_knows_none)
{
    batch_deployment cluster;
    auto& served = cluster.ready_gateway("a");
    EXPECT_EQ(cluster.status_of(served.address(), make_read("none", 0)), 404);
    cluster.modify_store([](standins::fake_store& store) { store.faults.refuse = true; });
    EXPECT_EQ(cluster.status_of(served.address(), make_read("none", 0)), 503);
    EXPECT_EQ(cluster.status_of(served.address(), make_batch("b1")), 503);
    cluster.modify_store([](standins::fake_store& store) { store.faults.refuse = false; });
    EXPECT_EQ(cluster.inspect_store<std::size_t>([](standins::fake_store& store) { return store.count("batches"); }),
              0U);
}

// The store does the acceptance and its answer is lost. The trainer must not hear that nothing runs: the
// batch stands and will run.
TEST(batches, are_not_refused_where_the_acceptance_may_have_taken_effect)
{
    batch_deployment cluster;
    auto& served = cluster.ready_gateway("a");
    cluster.modify_store([](standins::fake_store& store) { store.faults.lose_answers = 2; });
    EXPECT_EQ(cluster.status_of(served.address(), make_batch("b1")), 202);
    expect_complete(cluster.read_all({served.address()}, "b1"));
}

// Writes of results are done late, after others under the same name. Every position keeps its first content.
TEST(batches, list_every_item_once_when_writes_are_done_late)
{
    batch_deployment cluster;
    auto& served = cluster.ready_gateway("a");
    EXPECT_EQ(cluster.status_of(served.address(), make_batch("b1")), 202);
    cluster.modify_store([](standins::fake_store& store) {
        store.faults.delay_writes = 2;
        store.faults.write_delay = milliseconds(400);
    });
    expect_complete(cluster.read_all({served.address()}, "b1"));
}

// Streams break off in the middle of an event, are refused, and fail: each goes on behind its last whole
// event.
TEST(batches, resume_items_whose_runs_break_off)
{
    batch_deployment cluster;
    auto& served = cluster.ready_gateway("a");
    cluster.modify_store([&](standins::fake_store&) {
        cluster.one.script = {replica_fault::cut_stream, replica_fault::shed, replica_fault::fail};
        cluster.two.script = {replica_fault::reset, replica_fault::cut_stream, replica_fault::other_attempt};
    });
    EXPECT_EQ(cluster.status_of(served.address(), make_batch("b1")), 202);
    expect_complete(cluster.read_all({served.address()}, "b1"));
}

TEST(batches, list_items_that_can_never_be_done_as_terminated)
{
    batch_deployment cluster;
    auto& served = cluster.ready_gateway("a");
    cluster.modify_store([&](standins::fake_store&) {
        cluster.one.script = {replica_fault::never};
        cluster.two.script = {replica_fault::never};
    });
    EXPECT_EQ(cluster.status_of(served.address(), make_batch("b1")), 202);
    const auto results = cluster.read_all({served.address()}, "b1");
    ASSERT_EQ(results.size(), item_count);
    const auto given_up = std::count_if(results.begin(), results.end(),
                                        [](const json& entry) { return entry["State"] == "terminated"; });
    EXPECT_GE(given_up, 1);
    EXPECT_LE(given_up, 2);
}

// The gateway that accepted a batch dies in its middle. Another one runs what is left, and readers at either
// see the same positions.
TEST(batches, are_finished_by_another_gateway_when_their_own_dies)
{
    batch_deployment cluster;
    auto& first = cluster.ready_gateway("a");
    auto& second = cluster.ready_gateway("b");
    cluster.modify_store([&](standins::fake_store&) {
        cluster.one.event_time = milliseconds(150);
        cluster.two.event_time = milliseconds(150);
    });
    EXPECT_EQ(cluster.status_of(first.address(), make_batch("b1")), 202);
    std::this_thread::sleep_for(milliseconds(200));
    first.kill();
    expect_complete(cluster.read_all({second.address()}, "b1"));
}

// The store is silent for everybody when a step comes; its trainer brings it to one gateway after the other.
// Nobody is told that the batch stands, but one of the gateways runs it, once. When the store is back the
// trainer hears 202 and finds the results of what ran meanwhile.
TEST(batches, are_run_once_while_the_store_is_silent_and_accepted_when_it_is_back)
{
    batch_deployment cluster;
    auto& first = cluster.add_gateway_at_second("a");
    auto& second = cluster.add_gateway_at_second("b");
    expect_discovered({&first, &second});
    const auto runs = [&] {
        return cluster.inspect_store<std::size_t>(
            [&](standins::fake_store&) { return cluster.one.ran.size() + cluster.two.ran.size(); });
    };
    cluster.modify_store([](standins::fake_store& store) { store.faults.second_silent = true; });
    constexpr milliseconds timeout{1300};
    for (auto* served : {&first, &second}) {
        const auto answer = cluster.send(served->address(), make_batch("b1"), timeout);
        EXPECT_FALSE(std::holds_alternative<net::http_response>(answer));
    }
    EXPECT_TRUE(deployment::eventually([&] { return runs() == item_count; }));
    EXPECT_EQ(cluster.inspect_store<std::size_t>([](standins::fake_store& store) { return store.count("batches"); }),
              0U);
    cluster.modify_store([](standins::fake_store& store) { store.faults.second_silent = false; });
    EXPECT_TRUE(
        deployment::eventually([&] { return cluster.status_of(second.address(), make_batch("b1")) == 202; }));
    expect_complete(cluster.read_all({second.address()}, "b1"));
    EXPECT_EQ(runs(), item_count);
}

// The store is silent when a step comes, and refuses when it comes again, at each gateway. One of them runs
// it meanwhile, so none may say that nothing of it runs.
TEST(batches, that_run_ahead_are_not_refused_anywhere)
{
    batch_deployment cluster;
    auto& first = cluster.add_gateway_at_second("a");
    auto& second = cluster.add_gateway_at_second("b");
    expect_discovered({&first, &second});
    cluster.modify_store([](standins::fake_store& store) { store.faults.second_silent = true; });
    cluster.send(first.address(), make_batch("b1"), milliseconds(1300));
    cluster.modify_store([](standins::fake_store& store) {
        store.faults.second_silent = false;
        store.faults.refuse = true;
    });
    for (auto* served : {&first, &second}) {
        EXPECT_EQ(cluster.status_of(served->address(), make_batch("b1")), 502);
        EXPECT_EQ(cluster.status_of(served->address(), make_batch("b2")), 503) << "nothing of this one runs";
    }
}

// A trainer gives its step up while the store is silent. What was run ahead of an acceptance ends, and leaves
// nothing behind when the store is back.
TEST(batches, run_ahead_are_dropped_when_their_trainer_brings_them_no_more)
{
    batch_deployment cluster;
    auto& served = cluster.add_gateway_at_second("a");
    EXPECT_TRUE(deployment::eventually([&] { return served.ready(); }));
    cluster.modify_store([](standins::fake_store& store) { store.faults.second_silent = true; });
    cluster.send(served.address(), make_batch("b1", 9), milliseconds(1300));
    const auto running = [&] {
        return served.query<std::size_t>([](gateway& instance) { return instance.batches_running(); });
    };
    EXPECT_EQ(running(), 1U);
    EXPECT_TRUE(deployment::eventually([&] { return running() == 0; }));
    cluster.modify_store([](standins::fake_store& store) { store.faults.second_silent = false; });
    std::this_thread::sleep_for(milliseconds(800));
    EXPECT_EQ(cluster.inspect_store<std::size_t>([](standins::fake_store& store) { return store.count("batches"); }),
              0U);
}

// The owner dies while its items are long under way. Without their texts each would begin at its start and
// the step would take its whole time again; the next owner asks for what follows the kept ones.
TEST(batches, go_on_behind_the_kept_texts_when_their_owner_dies)
{
    batch_deployment cluster;
    auto& first = cluster.ready_gateway("a");
    auto& second = cluster.ready_gateway("b");
    cluster.modify_store([&](standins::fake_store&) {
        for (auto* engine : {&cluster.one, &cluster.two}) {
            engine->events = 40;
            engine->event_time = milliseconds(60);
        }
    });
    EXPECT_EQ(cluster.status_of(first.address(), make_batch("b1")), 202);
    EXPECT_TRUE(deployment::eventually([&] {
        return cluster.inspect_store<std::size_t>(
                   [](standins::fake_store& store) { return store.count("batch-texts"); }) == 1;
    }));
    first.kill();
    const auto results = cluster.read_all({second.address()}, "b1");
    ASSERT_EQ(results.size(), item_count);
    const auto resumed = cluster.inspect_store<std::size_t>([&](standins::fake_store&) {
        std::size_t count = 0;
        for (const auto* engine : {&cluster.one, &cluster.two}) {
            count += static_cast<std::size_t>(
                std::count_if(engine->ran.begin(), engine->ran.end(),
                              [](const standins::seen_request& run) { return !run.last_event_id.empty(); }));
        }
        return count;
    });
    EXPECT_EQ(resumed, item_count);
    for (const auto& entry : results) {
        const auto text = entry.at("Text").get<std::string>();
        EXPECT_EQ(std::count(text.begin(), text.end(), '\n'), 39) << entry.at("Id");
    }
}

// All gateways lose power at once. Each knows only itself when it is back; if each took every open batch,
// every item would run as often as there are gateways, and the steps behind would come late.
TEST(batches, are_left_alone_by_a_gateway_that_does_not_know_the_others_yet)
{
    batch_deployment cluster;
    auto& first = cluster.ready_gateway("a");
    cluster.modify_store([&](standins::fake_store&) {
        cluster.one.event_time = milliseconds(200);
        cluster.two.event_time = milliseconds(200);
    });
    EXPECT_EQ(cluster.status_of(first.address(), make_batch("b1")), 202);
    first.kill();
    auto& second = cluster.ready_gateway("b");
    std::this_thread::sleep_for(milliseconds(300));
    EXPECT_EQ(second.query<std::size_t>([](gateway& served) { return served.batches_running(); }), 0U);
    expect_complete(cluster.read_all({second.address()}, "b1"));
}

// The only gateway is killed and started again. It has met all that are registered at once, so the batch need
// not wait for the time in which others might show themselves.
TEST(batches, are_taken_over_at_once_where_all_registered_gateways_are_met)
{
    batch_deployment cluster;
    auto& before = cluster.ready_gateway("a");
    cluster.modify_store([&](standins::fake_store&) {
        cluster.one.event_time = milliseconds(400);
        cluster.two.event_time = milliseconds(400);
    });
    EXPECT_EQ(cluster.status_of(before.address(), make_batch("b1")), 202);
    before.kill();
    auto& after = cluster.ready_gateway("a");
    const auto began = steady::now();
    EXPECT_TRUE(deployment::eventually([&] {
        return after.query<std::size_t>([](gateway& served) { return served.batches_running(); }) == 1;
    }));
    EXPECT_LT(steady::now() - began, milliseconds(1200));
    expect_complete(cluster.read_all({after.address()}, "b1"));
}

TEST(batches, are_read_at_every_gateway)
{
    batch_deployment cluster;
    auto& first = cluster.ready_gateway("a");
    auto& second = cluster.ready_gateway("b");
    EXPECT_EQ(cluster.status_of(first.address(), make_batch("b1")), 202);
    expect_complete(cluster.read_all({second.address(), first.address()}, "b1"));
    auto body = make_read("b1", 0);
    body.target = "/api/items/b1?Id=b1-i3";
    const auto outcome = cluster.send(second.address(), body);
    EXPECT_EQ(std::get<net::http_response>(outcome).body, "hi");
}

// The trainer ends its batch: nothing of it runs any more, wherever the end was asked for.
TEST(batches, stop_when_they_are_ended)
{
    batch_deployment cluster;
    auto& first = cluster.ready_gateway("a");
    auto& second = cluster.ready_gateway("b");
    cluster.modify_store([&](standins::fake_store&) {
        cluster.one.event_time = milliseconds(300);
        cluster.two.event_time = milliseconds(300);
    });
    EXPECT_EQ(cluster.status_of(first.address(), make_batch("b1")), 202);
    EXPECT_EQ(cluster.status_of(second.address(), make_end("b1")), 200);
    EXPECT_EQ(cluster.status_of(second.address(), make_end("b1")), 200);
    EXPECT_TRUE(deployment::eventually([&] {
        return first.query<std::size_t>([](gateway& served) { return served.batches_running(); }) == 0;
    }));
    const auto runs = [&] {
        return cluster.inspect_store<std::size_t>(
            [&](standins::fake_store&) { return cluster.one.ran.size() + cluster.two.ran.size(); });
    };
    const auto before = runs();
    std::this_thread::sleep_for(milliseconds(300));
    EXPECT_EQ(runs(), before);
}

// A trainer names a version. The holder brings the engines to it, one order each, and a batch that asks for
// it waits until an engine has it.
TEST(batches, wait_for_the_weights_that_they_ask_for)
{
    batch_deployment cluster;
    auto& served = cluster.ready_gateway("a");
    EXPECT_EQ(cluster.status_of(served.address(), make_batch("b1", 2)), 202);
    cluster.modify_store([](standins::fake_store& store) {
        store.put("versions", "m", {{"Model", "m"}, {"Version", 2}});
    });
    const auto results = cluster.read_all({served.address()}, "b1");
    expect_complete(results);
    for (const auto& entry : results) {
        EXPECT_EQ(entry.at("Versions"), json::array({2}));
    }
    EXPECT_TRUE(deployment::eventually([&] {
        return cluster.inspect_store<std::size_t>([&](standins::fake_store&) {
            return cluster.one.orders.size() + cluster.two.orders.size();
        }) == 2;
    }));
}

// A reader waits for results that take long and asks again and again where the last answer ended. Each of its
// questions cost the store a listing and a watch; the watch alone tells as much.
TEST(batches, are_read_on_without_being_listed_again)
{
    batch_deployment cluster;
    auto& served = cluster.ready_gateway("a");
    EXPECT_EQ(cluster.status_of(served.address(), make_batch("b1", 9)), 202);
    EXPECT_EQ(cluster.body_of(served.address(), make_read("b1", 0))["Total"], item_count);
    const auto lists = [&] {
        return cluster.inspect_store<std::uint64_t>(
            [](standins::fake_store& store) { return store.list_calls("results-b1"); });
    };
    const auto before = lists();
    for (int turn = 0; turn < 5; ++turn) {
        EXPECT_EQ(cluster.body_of(served.address(), make_read("b1", 0))["Total"], item_count);
    }
    EXPECT_EQ(lists(), before);
    // Without its history the store can't tell what came since: the listing does.
    cluster.modify_store([](standins::fake_store& store) {
        store.put(
            "results-b1", "00000000",
            {{"writer", "x"},
             {"results",
              json::array(
                  {{{"id", "b1-i0"}, {"completed", false}, {"text", ""}, {"versions", json::array()}}})}});
        store.forget_history();
    });
    const auto page = cluster.body_of(served.address(), make_read("b1", 0));
    ASSERT_EQ(page["Results"].size(), 1U) << page;
    EXPECT_EQ(page["Results"][0]["Id"], "b1-i0");
}

// Another writer's entry stands where the batch's first results belong and can't be read. The batch can't go
// on; tried again at once and for good, its results took all calls that the store gives this gateway.
TEST(batches, with_an_unreadable_entry_among_their_results_leave_the_store_alone)
{
    batch_deployment cluster;
    auto& served = cluster.ready_gateway("a");
    cluster.modify_store([](standins::fake_store& store) {
        store.put("results-b9", "00000000", {{"writer", 7}});
    });
    EXPECT_EQ(cluster.status_of(served.address(), make_batch("b9")), 202);
    std::this_thread::sleep_for(seconds(2));
    const auto calls = [&] {
        return cluster.inspect_store<std::uint64_t>(
            [](standins::fake_store& store) { return store.write_calls(); });
    };
    const auto before = calls();
    std::this_thread::sleep_for(seconds(1));
    EXPECT_LE(calls() - before, 10U);
}

TEST(retirement, is_answered_by_the_vm_that_is_to_be_emptied)
{
    batch_deployment cluster;
    cluster.ready_gateway("a");
    cluster.modify_store([](standins::fake_store& store) { store.put("retirements", "a", {{"DurationS", 8}}); });
    EXPECT_TRUE(deployment::eventually([&] {
        const auto entry =
            cluster.inspect_store<json>(
            [](standins::fake_store& store) { return store.find("retirements", "a"); });
        return entry.value("Status", json()) == json{{"State", "completed"}};
    }));
}

} // namespace
} // namespace vanillagauge::gateway
