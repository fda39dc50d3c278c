#include "wire/event_loop.hpp"
#include "wire/peer_server.hpp"

#include <gtest/gtest.h>

namespace vanillagauge::wire {
namespace {

// Guards against a process that keeps its callers' connections open while it waits for a loop that has ended.
TEST(peer_server, closes_without_a_wait_once_its_loop_has_ended)
{
    constexpr milliseconds loss_slack{200};
    const dispatcher calls({});
    event_loop loop;
    peer_server server(loop, calls);
    ASSERT_TRUE(ok(server.open("127.0.0.1:0")));
    loop.stop();
    const auto began = steady::now();
    server.close();
    EXPECT_LT(steady::now() - began, loss_slack);
}

} // namespace
} // namespace vanillagauge::wire
