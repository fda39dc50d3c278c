#include "wire/event_loop.hpp"
#include "wire/peer_server.hpp"

#include <gtest/gtest.h>

namespace vanillagauge::wire {
namespace {

// Guards against holding callers' connections open while waiting for a stopped loop.
TEST(peer_server, closes_without_waiting_for_stopped_loop)
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
