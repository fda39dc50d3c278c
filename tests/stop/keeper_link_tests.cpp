#include "node/keeper_link.hpp"
#include "wire/wire.hpp"

#include "vanillagauge.pb.h"

#include <gtest/gtest.h>

#include <atomic>
#include <thread>

namespace vanillagauge::node {
namespace {

constexpr milliseconds long_enough{5000};

/// Holds each request for its full wait time, like a keeper without changes.
class recording_keeper final : public v1::KeeperLocal {
public:
    explicit recording_keeper(wire::event_loop& loop) : loop_(loop) {}

    std::atomic<int> requests{0};
    std::atomic<int> pending{0};
    std::atomic<bool> received_draining{false};

    void Follow(google::protobuf::RpcController* /*control*/, const v1::FollowRequest* request,
                v1::FollowReply* /*reply*/, google::protobuf::Closure* done) override
    {
        ++requests;
        ++pending;
        received_draining = request->self().draining();
        loop_.after(milliseconds{request->wait_ms()}, [this, done] {
            done->Run();
            --pending;
        });
    }

private:
    wire::event_loop& loop_;
};

// Guards against a program that ends before its keeper knows, so that work stays assigned to it.
TEST(stopping_program, reports_draining_to_its_keeper)
{
    wire::event_loop loop;
    recording_keeper keeper(loop);
    wire::dispatcher calls({});
    calls.mount(keeper, wire::role::anyone);
    wire::peer_server server(loop, calls);
    config::settings settings;
    settings.keeper.address = value(server.open("127.0.0.1:0"));
    keeper_link link(loop, settings);
    link.follow({"rollout", 1, "127.0.0.1:1", "", false, 0});
    const auto until = steady::now() + long_enough;
    while (keeper.requests == 0 && steady::now() < until) {
        std::this_thread::sleep_for(milliseconds(5));
    }
    ASSERT_EQ(keeper.requests, 1);
    link.announce([](fleet::process& self) { self.draining = true; });
    link.stop();
    EXPECT_TRUE(keeper.received_draining);
    while (keeper.pending > 0 && steady::now() < until) {
        std::this_thread::sleep_for(milliseconds(5));
    }
    loop.stop();
}

} // namespace
} // namespace vanillagauge::node
