// Messages larger than the flow-control window of a connection between two processes.
#include "wire/internal/http2_session.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <gtest/gtest.h>

namespace vanillagauge::wire::internal {
namespace {

using boost::asio::ip::tcp;

constexpr std::size_t window_bytes = 4U << 20U;
/// Without any event for so long, nothing will happen any more: a slow machine only makes single steps slow.
constexpr seconds stuck_after{30};

/// Bytes that differ by position, so that lost, doubled and exchanged parts are seen.
std::string message_of(std::size_t size)
{
    std::string message(size, '\0');
    for (std::size_t index = 0; index < size; ++index) {
        message[index] = static_cast<char>((index * 2654435761U) >> 24U);
    }
    return message;
}

/// Two ends of one connection on one loop without timers: a step that finds no event proves a stall.
class connected_sessions {
public:
    connected_sessions()
    {
        tcp::acceptor acceptor(loop_, tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0));
        tcp::socket near(loop_);
        near.connect(acceptor.local_endpoint());
        server_ = std::make_shared<http2_session>(acceptor.accept(), http2_session::side::server,
                                                  events([this](std::int32_t stream) { echo(stream); }));
        client_ = std::make_shared<http2_session>(
            std::move(near), http2_session::side::client,
            events([this](std::int32_t stream) { answers_[stream] = client_->find(stream)->received; }));
        server_->start();
        client_->start();
    }
    ~connected_sessions()
    {
        client_->close();
        server_->close();
        loop_.poll();
    }
    connected_sessions(const connected_sessions&) = delete;
    connected_sessions& operator=(const connected_sessions&) = delete;

    std::int32_t send(std::string body)
    {
        return client_->submit_request(
            {{":method", "POST"}, {":scheme", "http"}, {":path", "/echo"}, {":authority", "peer"}},
            std::move(body));
    }
    /// Runs until so many answers are complete; false if nothing happens any more before.
    bool run_until_answered(std::size_t count)
    {
        while (answers_.size() < count) {
            if (loop_.run_one_for(stuck_after) == 0) {
                return false;
            }
        }
        return true;
    }
    const std::string& answer_to(std::int32_t stream) { return answers_[stream]; }

private:
    boost::asio::io_context loop_{1};
    std::shared_ptr<http2_session> server_;
    std::shared_ptr<http2_session> client_;
    std::map<std::int32_t, std::string> answers_;

    static http2_session::events events(std::function<void(std::int32_t)> on_message)
    {
        return {std::move(on_message), [](std::int32_t) {}, [] {}};
    }
    // Not within the callback of the frame, which must not write.
    void echo(std::int32_t stream)
    {
        boost::asio::post(loop_, [this, stream] {
            server_->submit_response(stream, {{":status", "200"}}, server_->find(stream)->received);
        });
    }
};

// Guards against a transfer that stalls when a window is used up, whatever the speed of the machine.
TEST(large_message, passes_a_window_of_its_size_and_smaller_ones)
{
    for (const auto size :
         {window_bytes - 1, window_bytes, window_bytes + 1, 2 * window_bytes + (1U << 20U)}) {
        connected_sessions connection;
        const auto message = message_of(size);
        const auto stream = connection.send(message);
        ASSERT_TRUE(connection.run_until_answered(1)) << "stalled at " << size << " bytes";
        EXPECT_TRUE(connection.answer_to(stream) == message) << size << " bytes";
    }
}

// Guards against streams that take the connection's window from each other for good.
TEST(large_message, passes_beside_others_on_the_same_connection)
{
    connected_sessions connection;
    std::map<std::int32_t, std::string> sent;
    for (std::size_t number = 1; number <= 3; ++number) {
        auto message = message_of(2 * window_bytes + number);
        const auto stream = connection.send(message);
        sent[stream] = std::move(message);
    }
    ASSERT_TRUE(connection.run_until_answered(sent.size()));
    for (const auto& [stream, message] : sent) {
        EXPECT_TRUE(connection.answer_to(stream) == message) << "stream " << stream;
    }
}

} // namespace
} // namespace vanillagauge::wire::internal
