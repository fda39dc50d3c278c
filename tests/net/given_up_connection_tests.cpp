#include "loopback.hpp"

#include <gtest/gtest.h>

#include <sys/socket.h>

namespace vanillagauge::net {
namespace {

namespace asio = boost::asio;

constexpr milliseconds patience{2000};
constexpr milliseconds short_wait{50};
const std::string whole_response = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

/// Accepts one connection, reads a request head, sends the given bytes, and reads on until the connection
/// ends.
class ending_server {
public:
    explicit ending_server(std::string answer) : acceptor_(context_, {asio::ip::address_v4::loopback(), 0})
    {
        thread_ = std::thread([this, answer = std::move(answer)] {
            asio::ip::tcp::socket socket(context_);
            acceptor_.accept(socket);
            asio::streambuf buffer;
            boost::system::error_code ended;
            asio::read_until(socket, buffer, "\r\n\r\n", ended);
            asio::write(socket, asio::buffer(answer), ended);
            while (!ended) {
                asio::read(socket, buffer, asio::transfer_at_least(1), ended);
            }
            ended_.set_value(ended);
        });
    }
    ~ending_server() { thread_.join(); }
    ending_server(const ending_server&) = delete;
    ending_server& operator=(const ending_server&) = delete;

    unsigned short port() const { return acceptor_.local_endpoint().port(); }
    std::string address() const { return "127.0.0.1:" + std::to_string(port()); }
    boost::system::error_code end() { return ended_.get_future().get(); }

private:
    asio::io_context context_;
    asio::ip::tcp::acceptor acceptor_;
    std::promise<boost::system::error_code> ended_;
    std::thread thread_;
};

/// The descriptor of this process that is connected to the port.
int descriptor_to(unsigned short port)
{
    constexpr int most_descriptors = 1024;
    for (int descriptor = 0; descriptor < most_descriptors; ++descriptor) {
        sockaddr_in peer{};
        socklen_t size = sizeof peer;
        const bool connected = ::getpeername(descriptor, reinterpret_cast<sockaddr*>(&peer), &size) == 0;
        if (connected && peer.sin_family == AF_INET && peer.sin_port == htons(port)) {
            return descriptor;
        }
    }
    return -1;
}

bool keep_alive_enabled(int descriptor)
{
    int enabled = 0;
    socklen_t size = sizeof enabled;
    ::getsockopt(descriptor, SOL_SOCKET, SO_KEEPALIVE, &enabled, &size);
    return enabled != 0;
}

int user_timeout_of(int descriptor)
{
    constexpr int user_timeout_option = 18; // TCP_USER_TIMEOUT of linux/tcp.h
    int milliseconds = 0;
    socklen_t size = sizeof milliseconds;
    ::getsockopt(descriptor, IPPROTO_TCP, user_timeout_option, &milliseconds, &size);
    return milliseconds;
}

task<std::shared_ptr<http_connection>> connected_to(loop& where, std::string address,
                                                    silence_limit limit = silence_limit::deadline)
{
    auto connection = std::make_shared<http_connection>(where, limit);
    co_await connection->connect(std::move(address), steady::now() + patience);
    co_return connection;
}

http_request make_post()
{
    http_request request;
    request.method = "POST";
    request.fields.add("Host", "test");
    return request;
}

task<bool> wait_for_answer(http_connection& connection, duration wait)
{
    const auto request = make_post();
    const auto answer = co_await exchange(connection, request, 1U << 20U, steady::now() + wait);
    co_return std::holds_alternative<http_response>(answer);
}

/// Destroys the connection on its loop.
task<done> drop(std::shared_ptr<http_connection>& connection)
{
    connection.reset();
    co_return done{};
}

boost::system::error_code end_of(const std::string& answer, bool expect_answer)
{
    loop_thread thread;
    ending_server server(answer);
    auto connection = thread.run(connected_to(thread.context(), server.address()));
    const auto wait = expect_answer ? patience : short_wait;
    const bool answered = thread.run(wait_for_answer(*connection, wait));
    EXPECT_EQ(answered, expect_answer);
    thread.run(drop(connection));
    return server.end();
}

// Guards against a request that runs seconds after it was given up, when a partition that held it up heals.
TEST(given_up_connection, is_reset_without_a_response)
{
    EXPECT_EQ(end_of("", false), asio::error::connection_reset);
}

TEST(given_up_connection, is_reset_with_part_of_a_response)
{
    EXPECT_EQ(end_of("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\npart", false),
              asio::error::connection_reset);
}

// Guards against a reset that destroys what the peer has not read of a complete exchange.
TEST(given_up_connection, is_closed_normally_after_a_complete_response)
{
    EXPECT_EQ(end_of(whole_response, true), asio::error::eof);
}

/// The kernel's limits on a connection's silence.
struct kernel_limits {
    bool keep_alive = false;
    int user_timeout_ms = 0;
};

kernel_limits limits_of(silence_limit limit)
{
    loop_thread thread;
    ending_server server(whole_response);
    auto connection = thread.run(connected_to(thread.context(), server.address(), limit));
    const auto descriptor = descriptor_to(server.port());
    const kernel_limits seen{keep_alive_enabled(descriptor), user_timeout_of(descriptor)};
    EXPECT_TRUE(thread.run(wait_for_answer(*connection, patience)));
    thread.run(drop(connection));
    EXPECT_EQ(server.end(), asio::error::eof);
    return seen;
}

// Guards against a kernel that ends a connection before its owner can reset it.
TEST(given_up_connection, is_not_ended_by_the_kernel)
{
    const auto seen = limits_of(silence_limit::deadline);
    EXPECT_FALSE(seen.keep_alive);
    EXPECT_EQ(seen.user_timeout_ms, 0);
}

// Guards against a watch that waits on a dead connection for its whole time.
TEST(given_up_connection, is_ended_by_keep_alive_under_a_watch)
{
    const auto seen = limits_of(silence_limit::keep_alive);
    EXPECT_TRUE(seen.keep_alive);
    EXPECT_GT(seen.user_timeout_ms, 0);
}

} // namespace
} // namespace vanillagauge::net
