#include "tests/gateway/batch_deployment.hpp"

#include <gtest/gtest.h>

#include <atomic>
#include <thread>

namespace vanillagauge::gateway {
namespace {

// Guards against a batch that waits until the gateway that accepted it has ended.
TEST(batch_at_stop, runs_at_another_gateway_during_stop)
{
    batch_deployment all;
    auto& stopping = all.ready_gateway("a");
    auto& other = all.ready_gateway("b");
    ASSERT_TRUE(deployment::eventually([&] {
        return stopping.query<std::size_t>(
                   [](gateway& asked) { return asked.addresses().front_addresses.size(); }) == 2;
    }));
    std::atomic<bool> stopped{false};
    std::thread stop([&] {
        stopping.stop();
        stopped = true;
    });
    ASSERT_TRUE(deployment::eventually([&] { return !stopping.ready(); }));
    EXPECT_EQ(all.status_of(stopping.address(), make_batch("b1")), 202);
    const auto results = all.read_all({other.address()}, "b1");
    EXPECT_FALSE(stopped);
    stop.join();
    expect_complete(results);
}

} // namespace
} // namespace vanillagauge::gateway
