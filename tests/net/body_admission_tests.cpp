// Bodies that a service has no room for.
#include "loopback.hpp"

#include "net/byte_budget.hpp"

#include <gtest/gtest.h>

#include <thread>

namespace vanillagauge::net {
namespace {

constexpr std::size_t large = std::size_t{1} << 20U;
constexpr std::size_t piece = std::size_t{16} << 10U;

/// A service whose handler holds a request to /hold until the test ends it, and answers others with their
/// size.
class bounded_service {
public:
    explicit bounded_service(std::size_t total) : budget(std::make_shared<byte_budget>(total))
    {
        address = value(service_.open("127.0.0.1:0"));
    }

    std::size_t held()
    {
        return thread_.run(on_loop([this] { return budget->held(); }));
    }
    std::size_t handled()
    {
        return thread_.run(on_loop([this] { return handled_; }));
    }
    void release()
    {
        thread_.run(on_loop([this] {
            released_ = true;
            return std::size_t{0};
        }));
    }
    /// Waits until the service holds so many bytes.
    bool reaches(std::size_t bytes)
    {
        const auto until = steady::now() + seconds{10};
        while (held() != bytes && steady::now() < until) {
            std::this_thread::sleep_for(milliseconds{2});
        }
        return held() == bytes;
    }

    std::shared_ptr<byte_budget> budget;
    std::string address;

private:
    loop_thread thread_;
    bool released_ = false;
    std::size_t handled_ = 0;
    http_service service_{thread_.context(), [] { return service_limits{}; },
                          [this](http_request& request, responder& answer) { return serve(request, answer); },
                          nullptr, admission()};

    body_admission admission() const
    {
        return {budget, [](const http_request& request, std::size_t, duration) {
                    http_response refused;
                    refused.status = 503;
                    refused.fields.add("Retry-After", "0.100");
                    refused.fields.add("Refused", request.target);
                    return refused;
                }};
    }
    task<void> serve(http_request& request, responder& answer)
    {
        ++handled_;
        while (request.target == "/hold" && !released_) {
            co_await sleep_for(thread_.context(), milliseconds{2});
        }
        http_response response;
        response.body = std::to_string(request.body.size());
        co_await answer.send(std::move(response));
    }
    template <class Function>
    static task<std::size_t> on_loop(Function function)
    {
        co_return function();
    }
};

std::string with_length(const std::string& target, std::size_t bytes, const std::string& fields = {})
{
    return "POST " + target + " HTTP/1.1\r\nHost: h\r\n" + fields +
           "Content-Length: " + std::to_string(bytes) + "\r\n\r\n";
}

std::string whole(const std::string& target, std::size_t bytes)
{
    return with_length(target, bytes, "Connection: close\r\n") + std::string(bytes, 'x');
}

std::string in_chunks(const std::string& target, std::size_t bytes)
{
    std::string text =
        "POST " + target + " HTTP/1.1\r\nHost: h\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n";
    for (std::size_t sent = 0; sent < bytes; sent += piece) {
        text += "4000\r\n" + std::string(piece, 'x') + "\r\n";
    }
    return text + "0\r\n\r\n";
}

/// A client that holds a connection.
class open_client {
public:
    explicit open_client(const std::string& address) : socket_(context_)
    {
        const auto port = static_cast<unsigned short>(std::stoi(address.substr(address.rfind(':') + 1)));
        socket_.connect({boost::asio::ip::address_v4::loopback(), port});
    }
    void send(const std::string& bytes) { boost::asio::write(socket_, boost::asio::buffer(bytes)); }
    std::string read_to_end()
    {
        std::string answer;
        boost::system::error_code ended;
        boost::asio::read(socket_, boost::asio::dynamic_buffer(answer), ended);
        return answer;
    }

private:
    boost::asio::io_context context_;
    boost::asio::ip::tcp::socket socket_;
};

bool has_status(const std::string& answer, int status)
{
    return answer.starts_with("HTTP/1.1 " + std::to_string(status) + " ");
}

TEST(body_admission, body_without_room_is_refused_before_it_is_sent)
{
    bounded_service service(4 * large);
    open_client holder(service.address);
    holder.send(whole("/hold", 2 * large));
    ASSERT_TRUE(service.reaches(2 * large));
    open_client refused(service.address);
    refused.send(with_length("/second", 2 * large));
    const auto answer = refused.read_to_end();
    EXPECT_TRUE(has_status(answer, 503)) << answer;
    EXPECT_NE(answer.find("Retry-After: 0.100\r\n"), std::string::npos) << answer;
    EXPECT_NE(answer.find("Connection: close\r\n"), std::string::npos) << answer;
    EXPECT_NE(answer.find("Refused: /second\r\n"), std::string::npos) << answer;
    service.release();
    EXPECT_TRUE(has_status(holder.read_to_end(), 200));
    EXPECT_EQ(service.handled(), 1U);
    ASSERT_TRUE(service.reaches(0));
    EXPECT_TRUE(has_status(raw_exchange(service.address, whole("/second", 2 * large)), 200));
}

// Guards against a reset that destroys the refusal while its client sends the body.
TEST(body_admission, refusal_reaches_a_client_that_sends_its_whole_body_first)
{
    bounded_service service(4 * large);
    const auto answer = raw_exchange(service.address, whole("/other", 32 * large));
    EXPECT_TRUE(has_status(answer, 503)) << answer;
    EXPECT_EQ(service.handled(), 0U);
}

TEST(body_admission, refused_body_is_not_asked_for)
{
    bounded_service service(4 * large);
    open_client client(service.address);
    client.send(with_length("/other", 4 * large, "Expect: 100-continue\r\n"));
    const auto answer = client.read_to_end();
    EXPECT_TRUE(has_status(answer, 503)) << answer;
}

TEST(body_admission, body_in_chunks_is_refused_once_it_has_grown_too_large)
{
    bounded_service service(4 * large);
    open_client client(service.address);
    client.send(in_chunks("/other", 8 * large));
    EXPECT_TRUE(service.reaches(0)); // while the client holds its connection
    const auto answer = client.read_to_end();
    EXPECT_TRUE(has_status(answer, 503)) << answer;
    EXPECT_EQ(service.handled(), 0U);
}

TEST(body_admission, body_in_chunks_takes_its_room_and_gives_it_back)
{
    bounded_service service(4 * large);
    open_client holder(service.address);
    holder.send(in_chunks("/hold", 2 * large));
    ASSERT_TRUE(service.reaches(2 * large));
    service.release();
    const auto answer = holder.read_to_end();
    EXPECT_TRUE(has_status(answer, 200)) << answer;
    EXPECT_TRUE(answer.ends_with(std::to_string(2 * large))) << answer;
    EXPECT_TRUE(service.reaches(0));
}

TEST(body_admission, small_bodies_are_served_while_large_ones_fill_their_share)
{
    bounded_service service(4 * large);
    open_client holder(service.address);
    holder.send(whole("/hold", 3 * large));
    ASSERT_TRUE(service.reaches(3 * large));
    EXPECT_TRUE(has_status(raw_exchange(service.address, whole("/large", large)), 503));
    for (int count = 0; count < 20; ++count) {
        EXPECT_TRUE(has_status(raw_exchange(service.address, whole("/small", small_body_bytes)), 200));
        EXPECT_TRUE(has_status(raw_exchange(service.address, in_chunks("/small", piece)), 200));
    }
    EXPECT_TRUE(
        has_status(raw_exchange(service.address, "GET /none HTTP/1.1\r\nConnection: close\r\n\r\n"), 200));
    service.release();
}

TEST(body_admission, room_of_a_body_that_never_comes_whole_is_given_back)
{
    bounded_service service(4 * large);
    {
        open_client client(service.address);
        client.send(with_length("/other", 3 * large) + "abc");
        ASSERT_TRUE(service.reaches(3 * large));
    }
    EXPECT_TRUE(service.reaches(0));
}

TEST(body_admission, kept_connection_holds_room_for_its_current_request_only)
{
    bounded_service service(4 * large);
    open_client client(service.address);
    for (int count = 0; count < 4; ++count) {
        client.send(with_length("/other", 2 * large) + std::string(2 * large, 'x'));
    }
    client.send("GET /none HTTP/1.1\r\nConnection: close\r\n\r\n");
    EXPECT_TRUE(has_status(client.read_to_end(), 200));
    EXPECT_EQ(service.handled(), 5U);
}

} // namespace
} // namespace vanillagauge::net
