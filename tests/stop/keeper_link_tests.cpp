#include "node/keeper_link.hpp"
#include "wire/wire.hpp"

#include "vanillagauge.pb.h"

#include <gtest/gtest.h>

#include <atomic>
#include <thread>

namespace vanillagauge::node {
namespace {

constexpr milliseconds long_enough{5000};

/// Holds each question for as long as it may wait, as a keeper without news does.
class listening_keeper final : public v1::KeeperLocal {
public:
    explicit listening_keeper(wire::event_loop& loop) : loop_(loop) {}

    std::atomic<int> asked{0};
    std::atomic<int> held{0};
    std::atomic<bool> heard_draining{false};

    void Follow(google::protobuf::RpcController* /*control*/, const v1::FollowRequest* request,
                v1::FollowReply* /*reply*/, google::protobuf::Closure* done) override
    {
        ++asked;
        ++held;
        heard_draining = request->self().draining();
        loop_.after(milliseconds{request->wait_ms()}, [this, done] {
            done->Run();
            --held;
        });
    }

private:
    wire::event_loop& loop_;
};

// Guards against a program that ends before its keeper knows, so that its work stays with a process that is
// gone.
TEST(stopping_program, has_told_its_keeper_that_it_drains)
{
    wire::event_loop loop;
    listening_keeper keeper(loop);
    wire::dispatcher calls({});
    calls.mount(keeper, wire::role::anyone);
    wire::peer_server server(loop, calls);
    config::settings settings;
    settings.keeper.address = value(server.open("127.0.0.1:0"));
    keeper_link link(loop, settings);
    link.follow({"rollout", 1, "127.0.0.1:1", "", false, 0});
    const auto until = steady::now() + long_enough;
    while (keeper.asked == 0 && steady::now() < until) {
        std::this_thread::sleep_for(milliseconds(5));
    }
    ASSERT_EQ(keeper.asked, 1);
    link.announce([](fleet::process& self) { self.draining = true; });
    link.stop();
    EXPECT_TRUE(keeper.heard_draining);
    while (keeper.held > 0 && steady::now() < until) {
        std::this_thread::sleep_for(milliseconds(5));
    }
    loop.stop();
}

} // namespace
} // namespace vanillagauge::node
