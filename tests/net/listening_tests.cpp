#include "loopback.hpp"
#include "net/http_service.hpp"

#include <gtest/gtest.h>

#include <optional>
#include <thread>

namespace vanillagauge::net {
namespace {

/// A service that nobody calls, on a loop of its own.
struct listener {
    boost::asio::io_context context;
    http_service service{context, [] { return service_limits{}; },
                         [](const http_request&, responder&) -> task<void> { co_return; }};
};

TEST(http_service, refuses_an_address_that_is_none)
{
    for (const char* address :
         {"127.0.0.1:70000", "127.0.0.1", "127.0.0.1:", "127.0.0.1:80x", ":80", "h:80"}) {
        listener tested;
        EXPECT_FALSE(ok(tested.service.open(address))) << address;
    }
}

// A program ended at its start because another socket held its address for a moment.
TEST(http_service, waits_for_an_address_that_is_freed)
{
    std::optional<boost::asio::ip::tcp::acceptor> holder;
    boost::asio::io_context context;
    holder.emplace(context, boost::asio::ip::tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0));
    const auto address = "127.0.0.1:" + std::to_string(holder->local_endpoint().port());
    listener tested;
    EXPECT_FALSE(ok(tested.service.open(address)));
    std::thread freeing([&holder] {
        std::this_thread::sleep_for(milliseconds{300});
        holder.reset();
    });
    EXPECT_TRUE(ok(tested.service.open(address, seconds{20})));
    freeing.join();
}

} // namespace
} // namespace vanillagauge::net
