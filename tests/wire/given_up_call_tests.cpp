#include "wire/wire.hpp"

#include "target.pb.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/streambuf.hpp>
#include <gtest/gtest.h>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <future>
#include <thread>

namespace vanillagauge::wire {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

constexpr milliseconds patience{3000};
constexpr milliseconds poll_interval{10};

/// Accepts one connection and reads a request of it, which it never answers.
class unanswering_server {
public:
    ~unanswering_server() { thread_.join(); }

    std::string address() const { return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port()); }
    void wait_for_request() { requested_.get_future().wait(); }
    /// Whether the client reset the connection; a client that only closes it leaves it half open.
    bool was_reset() { return reset_.get_future().get(); }

private:
    asio::io_context context_;
    tcp::acceptor acceptor_{context_, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0)};
    std::promise<void> requested_;
    std::promise<bool> reset_;
    std::thread thread_{[this] { serve(); }};

    void serve()
    {
        auto socket = acceptor_.accept();
        asio::streambuf bytes;
        asio::read_until(socket, bytes, '}');
        requested_.set_value();
        const auto until = steady::now() + patience;
        while (state_of(socket) != TCP_CLOSE && steady::now() < until) {
            std::this_thread::sleep_for(poll_interval);
        }
        reset_.set_value(state_of(socket) == TCP_CLOSE);
    }

    static int state_of(tcp::socket& socket)
    {
        tcp_info info{};
        socklen_t size = sizeof info;
        ::getsockopt(socket.native_handle(), IPPROTO_TCP, TCP_INFO, &info, &size);
        return info.tcpi_state;
    }
};

call_cancel start_call(http_channel& link, milliseconds timeout, std::promise<void>& ended)
{
    call_options options;
    options.timeout = timeout;
    return call<target::v1::CallReply>(link, method<target::v1::PlainService>("Call"),
                                       target::v1::CallRequest(), options,
                                       [&ended](const result<target::v1::CallReply>&) { ended.set_value(); });
}

// Guards against a request that runs after it was given up, when a partition that held it up heals.
TEST(given_up_call, resets_its_connection_at_its_deadline)
{
    unanswering_server server;
    event_loop loop;
    http_channel link(loop, server.address());
    std::promise<void> ended;
    start_call(link, milliseconds{200}, ended);
    ended.get_future().wait();
    EXPECT_TRUE(server.was_reset());
}

TEST(given_up_call, resets_its_connection_when_cancelled)
{
    unanswering_server server;
    event_loop loop;
    http_channel link(loop, server.address());
    std::promise<void> ended;
    const auto cancel = start_call(link, seconds{30}, ended);
    server.wait_for_request();
    cancel();
    ended.get_future().wait();
    EXPECT_TRUE(server.was_reset());
}

} // namespace
} // namespace vanillagauge::wire
