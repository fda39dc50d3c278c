#include "batch_deployment.hpp"

#include <gtest/gtest.h>

namespace vanillagauge::gateway {
namespace {

using nlohmann::json;
using standins::replica_fault;

/// Waits until each gateway is ready and has discovered all of them.
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

TEST(batches, are_accepted_once_and_published)
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

TEST(batches, are_not_found_only_if_the_store_confirms_it)
{
    batch_deployment cluster;
    auto& served = cluster.ready_gateway("a");
    EXPECT_EQ(cluster.status_of(served.address(), make_read("none", 0)), 404);
    cluster.modify_store([](standins::fake_store& store) { store.faults.refuse = true; });
    EXPECT_EQ(cluster.status_of(served.address(), make_read("none", 0)), 503);
    EXPECT_EQ(cluster.status_of(served.address(), make_batch("b1")), 503);
    cluster.modify_store([](standins::fake_store& store) { store.faults.refuse = false; });
    EXPECT_EQ(cluster.inspect_store<std::size_t>(
                  [](standins::fake_store& store) { return store.count("batches"); }),
              0U);
}

// The store writes the batch but its response is lost. The batch will run, so it must not be refused.
TEST(batches, are_not_refused_if_the_write_may_have_taken_effect)
{
    batch_deployment cluster;
    auto& served = cluster.ready_gateway("a");
    cluster.modify_store([](standins::fake_store& store) { store.faults.lose_answers = 2; });
    EXPECT_EQ(cluster.status_of(served.address(), make_batch("b1")), 202);
    expect_complete(cluster.read_all({served.address()}, "b1"));
}

// The gateway's own write is refused, the first peer's takes effect without a response, the second peer's is
// refused. The batch will run, so it must not be refused.
TEST(batches, are_not_refused_if_the_write_of_one_peer_may_have_taken_effect)
{
    batch_deployment cluster;
    auto& served = cluster.ready_gateway("a");
    cluster.ready_gateway("b");
    cluster.ready_gateway("c");
    EXPECT_TRUE(deployment::eventually([&] {
        return served.query<std::size_t>(
                   [](gateway& one) { return one.addresses().front_addresses.size(); }) == 3;
    }));
    cluster.modify_store([](standins::fake_store& store) {
        store.faults.scripted_kind = batch_kind;
        store.faults.script = {standins::write_fault::refuse, standins::write_fault::lose_answer,
                               standins::write_fault::refuse};
    });
    EXPECT_EQ(cluster.status_of(served.address(), make_batch("b1")), 202);
    expect_complete(cluster.read_all({served.address()}, "b1"));
}

// Writes of results take effect late, after others under the same name. No position may change.
TEST(batches, publish_every_item_once_with_delayed_writes)
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

// Streams are cut in the middle of an event, refused, and fail: each resumes after its last complete event.
TEST(batches, resume_items_after_interrupted_runs)
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

// Guards against an engine's event of other bytes than UTF-8 that ends the gateway as it lists the result,
// and against a result with other bytes than the engine's.
TEST(batches, run_items_again_whose_text_is_not_utf8)
{
    batch_deployment cluster;
    auto& served = cluster.ready_gateway("a");
    cluster.modify_store([&](standins::fake_store&) {
        cluster.one.script = {replica_fault::wrong_bytes, replica_fault::wrong_stamp};
        cluster.two.script = {replica_fault::wrong_bytes, replica_fault::wrong_stamp};
    });
    EXPECT_EQ(cluster.status_of(served.address(), make_batch("b1")), 202);
    expect_complete(cluster.read_all({served.address()}, "b1"));
}

// Guards against an engine that keeps an item for ever, and fills the gateway's memory, with bytes without
// end.
TEST(batches, run_items_again_after_bytes_without_end)
{
    batch_deployment cluster;
    auto& served = cluster.ready_gateway("a");
    cluster.modify_store([&](standins::fake_store&) {
        cluster.one.script = {replica_fault::endless_event, replica_fault::endless_lines};
        cluster.two.script = {replica_fault::endless_lines, replica_fault::endless_event};
    });
    EXPECT_EQ(cluster.status_of(served.address(), make_batch("b1")), 202);
    expect_complete(cluster.read_all({served.address()}, "b1"));
}

// Guards against an item that is never placed again, because several engines crashed under it.
TEST(batches, run_an_item_again_under_which_engines_crashed)
{
    constexpr int crashes = 5;
    batch_deployment cluster;
    auto& served = cluster.ready_gateway("a");
    cluster.modify_store([&](standins::fake_store&) {
        cluster.one.resets_left = {{"b1-i1", crashes}, {"b1-i4", crashes}};
        cluster.two.resets_left = cluster.one.resets_left;
    });
    EXPECT_EQ(cluster.status_of(served.address(), make_batch("b1")), 202);
    expect_complete(cluster.read_all({served.address()}, "b1"));
}

TEST(batches, publish_rejected_items_as_terminated)
{
    batch_deployment cluster;
    auto& served = cluster.ready_gateway("a");
    cluster.modify_store([&](standins::fake_store&) {
        cluster.one.script = {replica_fault::unprocessable};
        cluster.two.script = {replica_fault::unprocessable};
    });
    EXPECT_EQ(cluster.status_of(served.address(), make_batch("b1")), 202);
    const auto results = cluster.read_all({served.address()}, "b1");
    ASSERT_EQ(results.size(), item_count);
    const auto given_up = std::count_if(results.begin(), results.end(),
                                        [](const json& entry) { return entry["State"] == "terminated"; });
    EXPECT_GE(given_up, 1);
    EXPECT_LE(given_up, 2);
}

// Guards against an item that ends for the late failure of another one, whose copy comes on a kept
// connection.
TEST(batches, ignore_failures_of_other_attempts)
{
    batch_deployment cluster;
    auto& served = cluster.ready_gateway("a");
    cluster.modify_store([&](standins::fake_store&) {
        cluster.one.script = {replica_fault::late_rejection, replica_fault::late_shed};
        cluster.two.script = {replica_fault::late_shed, replica_fault::late_rejection};
    });
    EXPECT_EQ(cluster.status_of(served.address(), make_batch("b1")), 202);
    expect_complete(cluster.read_all({served.address()}, "b1"));
}

// Guards against a batch that runs on for nobody, because its trainer ended it while the texts saved by its
// failed owner were read back.
TEST(batches, ended_during_a_takeover_do_not_run)
{
    batch_deployment cluster;
    auto& first = cluster.ready_gateway("a");
    auto& second = cluster.ready_gateway("b");
    expect_discovered({&first, &second});
    cluster.modify_store([&](standins::fake_store& store) {
        cluster.one.event_interval = milliseconds(400);
        cluster.two.event_interval = milliseconds(400);
        store.faults.held_kind = "batch-texts";
    });
    EXPECT_EQ(cluster.status_of(first.address(), make_batch("b1")), 202);
    const auto owner = cluster.inspect_store<std::string>([](standins::fake_store& store) {
        return store.find("batches", "b1").at("Specification").at("owner").get<std::string>();
    });
    auto& successor = owner == "a" ? second : first;
    (owner == "a" ? first : second).kill();
    EXPECT_TRUE(deployment::eventually([&] {
        return cluster.inspect_store<std::uint64_t>(
                   [](standins::fake_store& store) { return store.read_calls("batch-texts"); }) > 0;
    }));
    EXPECT_EQ(cluster.status_of(successor.address(), make_end("b1")), 200);
    const auto started = [&] {
        return cluster.inspect_store<std::size_t>([&](standins::fake_store&) {
            return cluster.one.started_requests.size() + cluster.two.started_requests.size();
        });
    };
    const auto before = started();
    cluster.modify_store([](standins::fake_store& store) { store.faults.held_kind.clear(); });
    std::this_thread::sleep_for(milliseconds(500));
    EXPECT_EQ(started(), before);
    EXPECT_EQ(successor.query<std::size_t>([](gateway& asked) { return asked.batches_running(); }), 0U);
}

// The gateway that accepted a batch crashes while running it. Another one runs the remaining items.
TEST(batches, are_finished_by_another_gateway_after_a_crash)
{
    batch_deployment cluster;
    auto& first = cluster.ready_gateway("a");
    auto& second = cluster.ready_gateway("b");
    cluster.modify_store([&](standins::fake_store&) {
        cluster.one.event_interval = milliseconds(150);
        cluster.two.event_interval = milliseconds(150);
    });
    EXPECT_EQ(cluster.status_of(first.address(), make_batch("b1")), 202);
    std::this_thread::sleep_for(milliseconds(200));
    first.kill();
    expect_complete(cluster.read_all({second.address()}, "b1"));
}

// Guards against several successors that run one batch beside each other while ranks change.
TEST(batches, name_their_successor_in_the_store)
{
    batch_deployment cluster;
    auto& first = cluster.ready_gateway("a");
    auto& second = cluster.ready_gateway("b");
    EXPECT_EQ(cluster.status_of(first.address(), make_batch("b1", 9)), 202);
    const auto owner = [&] {
        const auto header = cluster.inspect_store<json>(
            [](standins::fake_store& store) { return store.find("batches", "b1"); });
        return header.at("Specification").at("owner").get<std::string>();
    };
    const auto before = owner();
    (before == "a" ? first : second).kill();
    EXPECT_TRUE(deployment::eventually([&] { return owner() != before; }));
}

// The store does not respond while a trainer submits its batch to one gateway after the other. None accepts
// it, but one of them runs it, once. After the outage it is accepted, with the results obtained meanwhile.
TEST(batches, run_once_during_a_store_outage)
{
    batch_deployment cluster;
    auto& first = cluster.add_gateway_at_second("a");
    auto& second = cluster.add_gateway_at_second("b");
    expect_discovered({&first, &second});
    const auto runs = [&] {
        return cluster.inspect_store<std::size_t>([&](standins::fake_store&) {
            return cluster.one.started_requests.size() + cluster.two.started_requests.size();
        });
    };
    cluster.modify_store([](standins::fake_store& store) { store.faults.second_silent = true; });
    constexpr milliseconds timeout{1300};
    for (auto* served : {&first, &second}) {
        const auto answer = cluster.send(served->address(), make_batch("b1"), timeout);
        EXPECT_FALSE(std::holds_alternative<net::http_response>(answer));
    }
    EXPECT_TRUE(deployment::eventually([&] { return runs() == item_count; }));
    EXPECT_EQ(cluster.inspect_store<std::size_t>(
                  [](standins::fake_store& store) { return store.count("batches"); }),
              0U);
    cluster.modify_store([](standins::fake_store& store) { store.faults.second_silent = false; });
    EXPECT_TRUE(
        deployment::eventually([&] { return cluster.status_of(second.address(), make_batch("b1")) == 202; }));
    expect_complete(cluster.read_all({second.address()}, "b1"));
    EXPECT_EQ(runs(), item_count);
}

// Another gateway has accepted a batch, which this one does not know of yet, and this one has no memory for
// it. It may not answer 503, which promises that no part of the batch runs.
TEST(batches, without_room_are_refused_only_where_none_has_accepted_them)
{
    batch_deployment cluster;
    auto settings = make_settings("a", cluster.store_address(), {});
    settings.gateway.memory_bytes = 32U << 10U;
    auto& served = *cluster.gateways.emplace_back(std::make_unique<running_gateway>(std::move(settings)));
    ASSERT_TRUE(deployment::eventually([&] { return served.ready(); }));
    ASSERT_EQ(cluster.status_of(served.address(), make_batch("b0", 9)), 202);
    EXPECT_EQ(cluster.status_of(served.address(), make_batch("b1", 9)), 503);
    cluster.modify_store([](standins::fake_store& store) {
        store.faults.lose_watches = true;
        batch_header accepted;
        accepted.owner_vm = "b";
        store.put("batches", "b1", to_json(accepted));
        store.faults.held_kind = "batches";
    });
    EXPECT_EQ(cluster.status_of(served.address(), make_batch("b1", 9)), 502);
    cluster.modify_store([](standins::fake_store& store) { store.faults.held_kind.clear(); });
    const auto status = [&](const std::string& id) {
        return cluster.status_of(served.address(), make_batch(id, 9));
    };
    EXPECT_TRUE(deployment::eventually([&] { return status("b1") == 202; }));
    EXPECT_EQ(status("b2"), 503);
}

// The body of a batch has no room here, so it is not read; another gateway may have accepted the batch
// before.
TEST(batches, whose_body_has_no_room_may_run_elsewhere)
{
    batch_deployment cluster;
    auto settings = make_settings("a", cluster.store_address(), {});
    settings.gateway.memory_bytes = 32U << 10U;
    auto& served = *cluster.gateways.emplace_back(std::make_unique<running_gateway>(std::move(settings)));
    ASSERT_TRUE(deployment::eventually([&] { return served.ready(); }));
    auto batch = make_batch("b1");
    batch.body.append(64U << 10U, ' ');
    EXPECT_EQ(cluster.status_of(served.address(), batch), 502);
    batch.target = "/safe/run";
    EXPECT_EQ(cluster.status_of(served.address(), batch), 503);
}

// Guards against a gateway that serves nobody else, since any number of batches runs there.
TEST(batches, beyond_those_that_may_run_are_refused_until_one_ends)
{
    batch_deployment cluster;
    auto settings = make_settings("a", cluster.store_address(), {});
    settings.gateway.running_batches = 1;
    auto& served = *cluster.gateways.emplace_back(std::make_unique<running_gateway>(std::move(settings)));
    ASSERT_TRUE(deployment::eventually([&] { return served.ready(); }));
    ASSERT_EQ(cluster.status_of(served.address(), make_batch("b1", 9)), 202);
    EXPECT_EQ(cluster.status_of(served.address(), make_batch("b2")), 503);
    EXPECT_EQ(cluster.status_of(served.address(), make_batch("b1", 9)), 202) << "it is known here";
    EXPECT_EQ(cluster.status_of(served.address(), make_end("b1")), 200);
    EXPECT_TRUE(
        deployment::eventually([&] { return cluster.status_of(served.address(), make_batch("b2")) == 202; }));
    expect_complete(cluster.read_all({served.address()}, "b2"));
}

// The store takes the items of each batch and refuses its header. Their room must be there again, or no batch
// is accepted any more.
TEST(batches, give_their_room_back_where_their_header_is_refused)
{
    batch_deployment cluster;
    auto& served = cluster.ready_gateway("a");
    cluster.modify_store([](standins::fake_store& store) {
        store.faults.scripted_kind = "batches";
        store.faults.script.assign(3, standins::write_fault::refuse);
    });
    for (const auto* id : {"b1", "b2", "b3"}) {
        EXPECT_EQ(cluster.status_of(served.address(), make_batch(id)), 503);
    }
    const auto held = [&served] { return value_of(served, "batch_item_bytes"); };
    EXPECT_TRUE(deployment::eventually([&] { return held() == 0; })) << *held();
    EXPECT_TRUE(
        deployment::eventually([&] { return cluster.status_of(served.address(), make_batch("b1")) == 202; }));
    EXPECT_GT(held(), 0);
}

// The store does not respond to a submission and then refuses the next ones. One gateway already runs the
// batch speculatively, so none may guarantee that it does not run.
TEST(batches, run_speculatively_are_not_refused_anywhere)
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
        EXPECT_EQ(cluster.status_of(served->address(), make_batch("b2")), 503)
            << "no part of this batch runs";
    }
}

// A trainer abandons its batch during a store outage. The speculative run ends, and nothing is stored after
// the outage.
TEST(batches, run_speculatively_are_dropped_when_abandoned)
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
    EXPECT_EQ(cluster.inspect_store<std::size_t>(
                  [](standins::fake_store& store) { return store.count("batches"); }),
              0U);
}

// The owner crashes while long items run. The next owner resumes each after its saved text instead of running
// it from the start.
TEST(batches, continue_saved_texts_after_their_owner_crashes)
{
    batch_deployment cluster;
    auto& first = cluster.ready_gateway("a");
    auto& second = cluster.ready_gateway("b");
    cluster.modify_store([&](standins::fake_store&) {
        for (auto* engine : {&cluster.one, &cluster.two}) {
            engine->events = 40;
            engine->event_interval = milliseconds(60);
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
            count += static_cast<std::size_t>(std::count_if(
                engine->started_requests.begin(), engine->started_requests.end(),
                [](const standins::received_request& run) { return !run.last_event_id.empty(); }));
        }
        return count;
    });
    EXPECT_EQ(resumed, item_count);
    for (const auto& entry : results) {
        const auto text = entry.at("Text").get<std::string>();
        EXPECT_EQ(std::count(text.begin(), text.end(), '\n'), 39) << entry.at("Id");
    }
}

// After a restart of all gateways each one knows only itself. If each claimed every batch, every item would
// run once per gateway.
TEST(batches, are_not_claimed_before_discovery)
{
    batch_deployment cluster;
    auto& first = cluster.ready_gateway("a");
    cluster.modify_store([&](standins::fake_store&) {
        cluster.one.event_interval = milliseconds(200);
        cluster.two.event_interval = milliseconds(200);
    });
    EXPECT_EQ(cluster.status_of(first.address(), make_batch("b1")), 202);
    first.kill();
    auto& second = cluster.ready_gateway("b");
    std::this_thread::sleep_for(milliseconds(300));
    EXPECT_EQ(second.query<std::size_t>([](gateway& served) { return served.batches_running(); }), 0U);
    expect_complete(cluster.read_all({second.address()}, "b1"));
}

// The only gateway crashes and restarts. It has discovered all registered gateways at once, so the batch must
// not wait for the discovery time.
TEST(batches, are_taken_over_at_once_after_discovery)
{
    batch_deployment cluster;
    auto& before = cluster.ready_gateway("a");
    cluster.modify_store([&](standins::fake_store&) {
        cluster.one.event_interval = milliseconds(400);
        cluster.two.event_interval = milliseconds(400);
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

// Ending a batch at any gateway stops its runs.
TEST(batches, stop_when_ended)
{
    batch_deployment cluster;
    auto& first = cluster.ready_gateway("a");
    auto& second = cluster.ready_gateway("b");
    cluster.modify_store([&](standins::fake_store&) {
        cluster.one.event_interval = milliseconds(300);
        cluster.two.event_interval = milliseconds(300);
    });
    EXPECT_EQ(cluster.status_of(first.address(), make_batch("b1")), 202);
    EXPECT_EQ(cluster.status_of(second.address(), make_end("b1")), 200);
    EXPECT_EQ(cluster.status_of(second.address(), make_end("b1")), 200);
    EXPECT_TRUE(deployment::eventually([&] {
        return first.query<std::size_t>([](gateway& served) { return served.batches_running(); }) == 0;
    }));
    const auto runs = [&] {
        return cluster.inspect_store<std::size_t>([&](standins::fake_store&) {
            return cluster.one.started_requests.size() + cluster.two.started_requests.size();
        });
    };
    const auto before = runs();
    std::this_thread::sleep_for(milliseconds(300));
    EXPECT_EQ(runs(), before);
}

// A trainer requires a weights version. Each engine is ordered to load it once, and a batch that requires it
// waits until an engine has it.
TEST(batches, wait_for_required_weights)
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

// Guards against a listing per request of a polling reader; a watch alone is enough.
// No living gateway has run the batch, so its results are read from the store.
TEST(batches, are_polled_without_repeated_listings)
{
    batch_deployment cluster;
    auto& owner = cluster.ready_gateway("a");
    EXPECT_EQ(cluster.status_of(owner.address(), make_batch("b1", 9)), 202);
    EXPECT_EQ(cluster.status_of(owner.address(), make_end("b1")), 200);
    owner.kill();
    auto& served = cluster.ready_gateway("b");
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
    // Without its history the store cannot serve the watch; a listing must replace it.
    cluster.modify_store([](standins::fake_store& store) {
        store.put(
            "results-b1", "00000000",
            {{"writer", "x"},
             {"results",
              json::array(
                  {{{"id", "b1-i0"}, {"completed", false}, {"text", ""}, {"versions", json::array()}}})}});
        store.compact_history();
    });
    const auto page = cluster.body_of(served.address(), make_read("b1", 0));
    ASSERT_EQ(page["Results"].size(), 1U) << page;
    EXPECT_EQ(page["Results"][0]["Id"], "b1-i0");
}

// An undecodable entry holds the position of the batch's first results. Guards against retries without delay,
// which would use up the gateway's calls to the store.
TEST(batches, limit_writes_after_an_undecodable_entry)
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

// Guards against a fleet in which no gateway orders weights: the VMs that serve no callers have the larger
// processors, but only the others may take the lease.
TEST(batches, get_weights_where_vms_without_callers_are_larger)
{
    batch_deployment cluster;
    for (const auto* vm : {"s1", "s2", "s3", "s4", "s5"}) {
        auto settings = make_settings(vm, cluster.store_address(), {});
        settings.gateway.front_listen.clear();
        settings.gateway.cpu_share = 0.3;
        cluster.gateways.push_back(std::make_unique<running_gateway>(std::move(settings)));
    }
    auto settings = make_settings("a", cluster.store_address(), {});
    settings.gateway.cpu_share = 0.12;
    cluster.gateways.push_back(std::make_unique<running_gateway>(std::move(settings)));
    auto& served = *cluster.gateways.back();
    EXPECT_TRUE(deployment::eventually([&] { return served.ready(); }));
    cluster.modify_store([](standins::fake_store& store) {
        store.put("versions", "m", {{"Model", "m"}, {"Version", 2}});
    });
    EXPECT_TRUE(deployment::eventually([&] {
        return cluster.inspect_store<std::size_t>([&](standins::fake_store&) {
            return cluster.one.orders.size() + cluster.two.orders.size();
        }) == 2;
    }));
}

// Guards against a VM without a gateway that nobody ever reports as empty.
TEST(retirement, is_completed_for_a_vm_without_a_gateway)
{
    batch_deployment cluster;
    cluster.ready_gateway("a");
    cluster.ready_gateway("b");
    cluster.modify_store([](standins::fake_store& store) {
        store.put("retirements", "unused-1", {{"DurationS", 8}});
    });
    EXPECT_TRUE(deployment::eventually([&] {
        const auto entry = cluster.inspect_store<json>(
            [](standins::fake_store& store) { return store.find("retirements", "unused-1"); });
        return entry.value("Status", json()) == json{{"State", "completed"}};
    }));
}

TEST(retirement, is_completed_by_the_retired_vm)
{
    batch_deployment cluster;
    cluster.ready_gateway("a");
    cluster.modify_store([](standins::fake_store& store) {
        store.put("retirements", "a", {{"DurationS", 8}});
    });
    EXPECT_TRUE(deployment::eventually([&] {
        const auto entry = cluster.inspect_store<json>(
            [](standins::fake_store& store) { return store.find("retirements", "a"); });
        return entry.value("Status", json()) == json{{"State", "completed"}};
    }));
}

} // namespace
} // namespace vanillagauge::gateway
