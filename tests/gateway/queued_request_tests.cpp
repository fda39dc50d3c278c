// What is asked again once a request has waited in the queue.
#include "forwarder_parts.hpp"

#include <gtest/gtest.h>

namespace vanillagauge::gateway {
namespace {

/// A forwarder whose only replica has one slot and takes its time.
struct one_slot : forwarder_parts {
    standins::fake_replica only{events.context(), "r1"};
    route plain;

    one_slot()
    {
        plain.name = "plain";
        plain.kind = route_kind::idempotent;
        plain.services = {{"plain", 1}};
        plain.timeout = seconds(5);
        plain.target_latency = seconds(1);
        only.work_time = milliseconds(300);
        on_loop([this] {
            replica known;
            known.id = only.id();
            known.service = "plain";
            known.address = value(only.open());
            targets.update(known);
        });
    }
    ~one_slot() { stop(); }
    one_slot(const one_slot&) = delete;
    one_slot& operator=(const one_slot&) = delete;

    std::future<relayed_answer> send(const std::string& id, const std::string& body)
    {
        const auto promise = std::make_shared<std::promise<relayed_answer>>();
        events.post([this, id, body, promise] { net::start(events.context(), run(id, body, promise)); });
        return promise->get_future();
    }
    /// Tasks run in the order in which they were posted, and the last request's own is the second from now.
    void wait_until_queued()
    {
        on_loop([] {});
        on_loop([] {});
    }
    std::size_t started()
    {
        std::size_t count = 0;
        on_loop([&] { count = only.started_requests.size(); });
        return count;
    }

private:
    net::task<void> run(std::string id, std::string body,
                        std::shared_ptr<std::promise<relayed_answer>> promise)
    {
        caller_request request;
        request.http = make_request("/safe/1", id);
        request.http.body = body;
        request.host = "h";
        request.attempt_id = id;
        request.arrived_at = steady::now();
        const auto ticket = std::make_shared<cancellation_token>();
        auto answer = co_await forwarding.run_for_peer(plain, std::move(request), 1, ticket);
        promise->set_value(std::move(answer));
    }
};

// Guards against one more crashed replica for each request that waited in the queue while others with the
// same content crashed theirs.
TEST(queued_requests, reach_no_replica_once_they_are_known_to_crash_them)
{
    one_slot all;
    auto first = all.send("a1", "good");
    EXPECT_TRUE(deployment::eventually([&] { return all.started() == 1; }));
    auto second = all.send("a2", "bad");
    all.wait_until_queued();
    all.on_loop([&] {
        const auto fingerprint = policy::request_fingerprint("plain", "POST/safe/1", "bad");
        for (const auto* target : {"t1", "t2", "t3"}) {
            all.crashes.on_crash(fingerprint, target, steady::now(), steady::now());
        }
    });
    EXPECT_EQ(value(first.get().response).status, 200);
    const auto held = second.get();
    ASSERT_FALSE(ok(held.response));
    EXPECT_EQ(failure(held.response).code, error_code::quarantined);
    EXPECT_EQ(all.started(), 1U);
    // The place that it was given is free again.
    EXPECT_EQ(value(all.send("a3", "good").get().response).status, 200);
}

} // namespace
} // namespace vanillagauge::gateway
