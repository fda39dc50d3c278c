#include "wire/wire.hpp"

#include "target.pb.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>
#include <gtest/gtest.h>

#include <atomic>
#include <latch>
#include <thread>

namespace vanillagauge::wire {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

/// Longer than a response takes to its callback, on a busy machine too.
constexpr milliseconds settle_time{300};

/// Answers its only request when told to.
class held_server {
public:
    ~held_server()
    {
        if (thread_.joinable()) {
            thread_.join();
        }
    }

    std::string address() const { return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port()); }
    void wait_for_request() { requested_.wait(); }
    void answer() { answers_.count_down(); }

private:
    asio::io_context context_;
    tcp::acceptor acceptor_{context_, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0)};
    std::latch requested_{1};
    std::latch answers_{1};
    std::thread thread_{[this] { serve(); }};

    void serve()
    {
        auto socket = acceptor_.accept();
        asio::streambuf bytes;
        asio::read_until(socket, bytes, '}');
        requested_.count_down();
        answers_.wait();
        const std::string response =
            "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: 2\r\n\r\n{}";
        boost::system::error_code ignored;
        asio::write(socket, asio::buffer(response), ignored);
        std::this_thread::sleep_for(settle_time);
    }
};

void start_call(http_channel& link, std::function<void()> on_done)
{
    call_options options;
    options.timeout = seconds{30};
    call<target::v1::CallReply>(
        link, method<target::v1::PlainService>("Call"), target::v1::CallRequest(), options,
        [on_done = std::move(on_done)](const result<target::v1::CallReply>&) { on_done(); });
}

// Guards against the callback of a late response that uses what a stopping program has destroyed.
TEST(stopped_loop, runs_no_callback_of_a_call)
{
    held_server server;
    std::atomic<bool> completed{false};
    event_loop loop;
    http_channel link(loop, server.address());
    start_call(link, [&] { completed = true; });
    server.wait_for_request();
    loop.stop();
    server.answer();
    std::this_thread::sleep_for(settle_time);
    EXPECT_FALSE(completed);
}

// Guards against a stop that returns while a callback still uses what the program destroys next.
TEST(stopped_loop, waits_for_a_running_callback)
{
    held_server server;
    std::latch entered{1};
    std::atomic<bool> left{false};
    event_loop loop;
    http_channel link(loop, server.address());
    start_call(link, [&] {
        entered.count_down();
        std::this_thread::sleep_for(settle_time);
        left = true;
    });
    server.wait_for_request();
    server.answer();
    entered.wait();
    loop.stop();
    EXPECT_TRUE(left);
}

} // namespace
} // namespace vanillagauge::wire
