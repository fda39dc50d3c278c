#include "wire/wire.hpp"

#include "target.pb.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>
#include <gtest/gtest.h>

#include <latch>
#include <list>
#include <thread>

namespace vanillagauge::wire {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

constexpr int pooled = 3;

/// Answers only the first request on each of the first `pooled` connections, once all have sent one; later
/// connections are served normally.
class stalling_server {
public:
    stalling_server() : acceptor_(context_, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0))
    {
        thread_ = std::thread([this] { accept(); });
    }

    ~stalling_server()
    {
        stopping_ = true;
        tcp::socket unblock(context_);
        unblock.connect(acceptor_.local_endpoint());
        thread_.join();
        for (auto& socket : sockets_) {
            boost::system::error_code ignored;
            socket.shutdown(tcp::socket::shutdown_both, ignored);
        }
        for (auto& server : servers_) {
            server.join();
        }
    }
    stalling_server(const stalling_server&) = delete;
    stalling_server& operator=(const stalling_server&) = delete;

    std::string address() const { return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port()); }

private:
    asio::io_context context_;
    tcp::acceptor acceptor_;
    std::list<tcp::socket> sockets_;
    std::list<std::thread> servers_;
    std::latch all_asked_{pooled};
    std::atomic<bool> stopping_{false};
    std::thread thread_;

    void accept()
    {
        for (int number = 0;; ++number) {
            auto socket = acceptor_.accept();
            if (stopping_) {
                return;
            }
            sockets_.push_back(std::move(socket));
            servers_.emplace_back([this, number, &mine = sockets_.back()] { serve(mine, number < pooled); });
        }
    }

    void serve(tcp::socket& socket, bool stalls)
    {
        asio::streambuf bytes;
        boost::system::error_code failed;
        for (int request = 0; !failed; ++request) {
            // The request body is a flat JSON object, so a request ends at the first brace.
            const auto size = asio::read_until(socket, bytes, '}', failed);
            bytes.consume(size);
            if (failed || (stalls && request > 0)) {
                continue;
            }
            if (stalls) {
                all_asked_.arrive_and_wait();
            }
            const std::string answer =
                "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: 2\r\n\r\n{}";
            asio::write(socket, asio::buffer(answer), failed);
        }
    }
};

std::future<bool> call_succeeds(channel& link, milliseconds timeout)
{
    auto promise = std::make_shared<std::promise<bool>>();
    call_options options;
    options.timeout = timeout;
    call<target::v1::CallReply>(
        link, method<target::v1::PlainService>("Call"), target::v1::CallRequest(), options,
        [promise](const result<target::v1::CallReply>& reply) { promise->set_value(ok(reply)); });
    return promise->get_future();
}

// Guards against calls that time out on each of the pooled connections in turn, when all of them have stopped
// responding and only new connections work.
TEST(http_channel, replaces_pool_when_connection_is_unresponsive)
{
    stalling_server server;
    event_loop loop;
    http_channel link(loop, server.address());
    std::vector<std::future<bool>> first;
    first.reserve(pooled);
    for (int index = 0; index < pooled; ++index) {
        first.push_back(call_succeeds(link, seconds{30}));
    }
    for (auto& one : first) {
        ASSERT_TRUE(one.get());
    }
    EXPECT_FALSE(call_succeeds(link, milliseconds{300}).get());
    EXPECT_TRUE(call_succeeds(link, seconds{30}).get());
}

} // namespace
} // namespace vanillagauge::wire
