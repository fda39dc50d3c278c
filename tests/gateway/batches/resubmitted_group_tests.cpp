#include "batch_deployment.hpp"

namespace vanillagauge::gateway {
namespace {

// Guards against items that are generated again from the start when the trainer submits their groups again,
// and against texts whose weights are too old for the new batch.
TEST(resubmitted_groups, resume_from_their_texts)
{
    for (const std::uint64_t second_min_version : {1, 2}) {
        batch_deployment cluster;
        auto& served = cluster.ready_gateway("a");
        const auto set_replicas = [&](milliseconds interval, std::uint64_t version) {
            cluster.modify_store([&](standins::fake_store&) {
                for (auto* replica : {&cluster.one, &cluster.two}) {
                    replica->event_interval = interval;
                    replica->version = version;
                }
            });
        };
        set_replicas(milliseconds(400), 1);
        EXPECT_EQ(cluster.status_of(served.address(), make_batch("b1")), 202);
        std::this_thread::sleep_for(milliseconds(1000));
        cluster.status_of(served.address(), make_end("b1"));
        set_replicas(milliseconds(5), 2);
        cluster.put_replica(cluster.one, "lm", "ready");
        cluster.put_replica(cluster.two, "lm", "ready");
        const auto resumed = [&] {
            return cluster.inspect_store<std::size_t>([&](standins::fake_store&) {
                std::size_t count = 0;
                for (const auto* replica : {&cluster.one, &cluster.two}) {
                    for (const auto& request : replica->started_requests) {
                        count += request.last_event_id.empty() ? 0 : 1;
                    }
                }
                return count;
            });
        };
        EXPECT_TRUE(deployment::eventually([&] {
            return served.query<std::size_t>([](gateway& known) { return known.batches_running(); }) == 0;
        }));
        EXPECT_EQ(resumed(), 0U);
        auto again = make_batch("b1", second_min_version);
        again.target = "/lots/b2";
        again.fields.set("Attempt-Id", "b2");
        EXPECT_EQ(cluster.status_of(served.address(), again), 202);
        expect_complete(cluster.read_all({served.address()}, "b2"));
        EXPECT_EQ(resumed(), second_min_version == 1 ? std::size_t{item_count} : 0U);
    }
}

} // namespace
} // namespace vanillagauge::gateway
