#include "entry/claim_run_guard.hpp"

#include "wire/wire.hpp"

#include "target.pb.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>
#include <gtest/gtest.h>

#include <atomic>
#include <thread>

namespace vanillagauge::entry {
namespace {

using boost::asio::ip::tcp;

/// A target on plain sockets. It answers "warm" requests and keeps the connection; it runs a "charge" and
/// closes the connection without an answer.
class charging_target {
public:
    charging_target()
    {
        address_ = "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
        thread_ = std::thread([this] { serve(); });
    }

    ~charging_target()
    {
        stopping_ = true;
        tcp::socket wake(context_);
        boost::system::error_code ignored;
        wake.connect(acceptor_.local_endpoint(), ignored);
        thread_.join();
        for (auto& item : sessions_) {
            item.socket->shutdown(tcp::socket::shutdown_both, ignored);
            item.thread.join();
        }
    }

    const std::string& address() const { return address_; }
    int charges() const { return charges_; }
    /// Charges on a connection that had served another request before.
    int charges_on_used_connections() const { return charges_on_used_; }

private:
    struct session {
        std::shared_ptr<tcp::socket> socket;
        std::thread thread;
    };

    boost::asio::io_context context_;
    tcp::acceptor acceptor_{context_, tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0)};
    std::string address_;
    std::atomic<bool> stopping_{false};
    std::atomic<int> charges_{0};
    std::atomic<int> charges_on_used_{0};
    std::thread thread_;
    std::vector<session> sessions_; ///< used by the accepting thread until it has ended

    void serve()
    {
        while (true) {
            auto socket = std::make_shared<tcp::socket>(context_);
            acceptor_.accept(*socket);
            if (stopping_) {
                return;
            }
            sessions_.push_back({socket, std::thread([this, socket] { talk(*socket); })});
        }
    }

    void talk(tcp::socket& socket)
    {
        boost::system::error_code broken;
        for (int served = 0;; ++served) {
            const auto body = read_request(socket, broken);
            if (broken) {
                return;
            }
            if (body.find("charge") != std::string::npos) {
                ++charges_;
                charges_on_used_ += served > 0 ? 1 : 0;
                socket.shutdown(tcp::socket::shutdown_both, broken);
                return;
            }
            const std::string head =
                "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: 2\r\n";
            boost::asio::write(socket, boost::asio::buffer(head + "\r\n{}"), broken);
        }
    }

    static std::string read_request(tcp::socket& socket, boost::system::error_code& broken)
    {
        boost::asio::streambuf buffer;
        const auto head_size = boost::asio::read_until(socket, buffer, "\r\n\r\n", broken);
        if (broken) {
            return {};
        }
        const std::string head(static_cast<const char*>(buffer.data().data()), head_size);
        const std::string name = "Content-Length:"; // stoul skips a space
        const auto position = head.find(name);
        const auto length =
            position == std::string::npos ? 0U : std::stoul(head.substr(position + name.size()));
        const auto wanted = head_size + length;
        if (buffer.size() < wanted) {
            boost::asio::read(socket, buffer, boost::asio::transfer_exactly(wanted - buffer.size()), broken);
        }
        return {static_cast<const char*>(buffer.data().data()) + head_size, length};
    }
};

target::v1::CallRequest request(const std::string& method)
{
    target::v1::CallRequest message;
    message.set_request_id("r1");
    message.set_method(method);
    return message;
}

result<target::v1::CallReply> call(wire::channel& link, const std::string& method)
{
    return wire::call_and_wait<target::v1::CallReply>(link, wire::method<target::v1::PlainService>("Call"),
                                                      request(method), {});
}

// A target runs a charge and closes the reused connection without an answer. The HTTP client takes this for a
// stale pooled connection and resends the request by itself, so the charge runs twice without a decision to
// retry.
TEST(run_guard, the_http_client_retries_a_request_on_a_pooled_connection)
{
    charging_target target;
    wire::event_loop loop;
    wire::http_channel pooled(loop, target.address());
    // The client returns a connection to the pool some time after the answer, so the pool may be empty.
    int charges_before = 0;
    for (int tries = 0; tries < 200 && target.charges_on_used_connections() == 0; ++tries) {
        ASSERT_TRUE(ok(call(pooled, "warm")));
        charges_before = target.charges();
        EXPECT_FALSE(ok(call(pooled, "charge")));
    }
    ASSERT_EQ(target.charges_on_used_connections(), 1);
    EXPECT_EQ(target.charges() - charges_before, 2)
        << "the HTTP client has changed: review the need for fresh connections";
}

// With the guard the request has its own connection, and a close without an answer is "in doubt".
TEST(run_guard, a_guarded_call_runs_once_when_its_connection_closes_before_the_answer)
{
    charging_target target;
    wire::event_loop loop;
    auto pooled = node::http_channels(loop);
    for (int index = 1; index <= 20; ++index) {
        ASSERT_TRUE(ok(call(*pooled.at(target.address()), "warm")));
        const auto guarded = guarded_channels(pooled);
        const auto outcome = call(*guarded->at(target.address()), "charge");
        ASSERT_FALSE(ok(outcome));
        EXPECT_EQ(failure(outcome).ran, run_state::in_doubt);
        EXPECT_EQ(target.charges(), index);
    }
}

TEST(run_guard, a_retry_after_an_outcome_in_doubt_is_refused_as_not_run)
{
    charging_target target;
    wire::event_loop loop;
    auto pooled = node::http_channels(loop);
    const auto guarded = guarded_channels(pooled);
    EXPECT_FALSE(ok(call(*guarded->at(target.address()), "charge")));
    const auto again = call(*guarded->at(target.address()), "charge");
    ASSERT_FALSE(ok(again));
    EXPECT_EQ(failure(again).ran, run_state::not_run);
    EXPECT_EQ(target.charges(), 1);
}

TEST(run_guard, a_retry_is_allowed_if_the_first_attempt_did_not_run)
{
    charging_target target;
    wire::event_loop loop;
    auto pooled = node::http_channels(loop);
    const auto guarded = guarded_channels(pooled);
    const auto refused = call(*guarded->at("127.0.0.1:1"), "charge");
    ASSERT_FALSE(ok(refused));
    ASSERT_EQ(failure(refused).ran, run_state::not_run);
    EXPECT_FALSE(ok(call(*guarded->at(target.address()), "charge")));
    EXPECT_EQ(target.charges(), 1);
}

} // namespace
} // namespace vanillagauge::entry
