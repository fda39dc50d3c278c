#include "wire/wire.hpp"

#include "target.pb.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <gtest/gtest.h>

#include <atomic>
#include <list>
#include <thread>

namespace vanillagauge::wire {
namespace {

using boost::asio::ip::tcp;

/// Accepts connections and never responds.
class silent_listener {
public:
    silent_listener() : acceptor_(context_, tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0))
    {
        accept();
        thread_ = std::thread([this] { context_.run(); });
    }

    ~silent_listener()
    {
        context_.stop();
        thread_.join();
    }
    silent_listener(const silent_listener&) = delete;
    silent_listener& operator=(const silent_listener&) = delete;

    std::string address() const { return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port()); }
    int connections() const { return connections_; }

private:
    boost::asio::io_context context_;
    tcp::acceptor acceptor_;
    std::list<tcp::socket> open_;
    std::atomic<int> connections_{0};
    std::thread thread_;

    void accept()
    {
        acceptor_.async_accept([this](const boost::system::error_code& failed, tcp::socket socket) {
            if (failed) {
                return;
            }
            open_.push_back(std::move(socket));
            ++connections_;
            accept();
        });
    }
};

result<target::v1::CallReply> call_once(peer_channel& link)
{
    call_options options;
    options.timeout = seconds{60};
    return call_and_wait<target::v1::CallReply>(link, method<target::v1::PlainService>("Call"),
                                                target::v1::CallRequest{}, options);
}

// Guards against calls that wait for their full timeout on an unresponsive connection. The call fails as in
// doubt, since the peer may have run it, and the next call opens a new connection.
TEST(peer_channel, reconnects_after_keepalive_timeout)
{
    silent_listener peer;
    event_loop loop;
    peer_channel link(loop, peer.address(), {milliseconds{1000}, milliseconds{20}, milliseconds{60}});
    const auto first = call_once(link);
    ASSERT_FALSE(ok(first));
    EXPECT_EQ(failure(first).code, error_code::unavailable);
    EXPECT_EQ(failure(first).ran, run_state::in_doubt);
    ASSERT_FALSE(ok(call_once(link)));
    EXPECT_EQ(peer.connections(), 2);
}

} // namespace
} // namespace vanillagauge::wire
