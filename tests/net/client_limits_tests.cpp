// What one client can make a service hold, and whom the service gives up for others.
#include "loopback.hpp"

#include "net/connection_account.hpp"

#include <gtest/gtest.h>

#include <string>
#include <thread>

namespace vanillagauge::net {
namespace {

constexpr std::size_t header_bytes = 2000;
constexpr std::size_t endless = std::size_t{4} << 20U; ///< far more than a connection may make a service hold

const std::string chunked_head = "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n";

class limited_service {
public:
    explicit limited_service(const account_limits& limits = {})
        : account(std::make_shared<connection_account>(limits))
    {
        address = value(service_.open("127.0.0.1:0"));
    }

    std::size_t connections() { return thread_.run(count()); }

    std::shared_ptr<connection_account> account;
    std::string address;

private:
    loop_thread thread_;
    http_service service_{thread_.context(),
                          [] {
                              service_limits limits;
                              limits.header_bytes = header_bytes;
                              return limits;
                          },
                          [](http_request& request, responder& answer) { return serve(request, answer); },
                          nullptr,
                          {},
                          account};

    static task<void> serve(http_request& request, responder& answer)
    {
        http_response response;
        response.body =
            request.target == "/large" ? std::string(endless, 'x') : std::to_string(request.body.size());
        co_await answer.send(std::move(response));
    }
    task<std::size_t> count() const { co_return account->connections(); }
};

class client {
public:
    explicit client(const std::string& address) : socket_(context_)
    {
        const auto port = static_cast<unsigned short>(std::stoi(address.substr(address.rfind(':') + 1)));
        socket_.connect({boost::asio::ip::address_v4::loopback(), port});
    }
    void send(const std::string& bytes)
    {
        boost::system::error_code ignored;
        boost::asio::write(socket_, boost::asio::buffer(bytes), ignored);
    }
    /// Until the service closes.
    std::string read_to_end()
    {
        std::string answer;
        boost::system::error_code ended;
        boost::asio::read(socket_, boost::asio::dynamic_buffer(answer), ended);
        return answer;
    }
    /// The head of the next answer.
    std::string read_head()
    {
        std::string answer;
        boost::system::error_code ended;
        const auto end =
            boost::asio::read_until(socket_, boost::asio::dynamic_buffer(answer), "\r\n\r\n", ended);
        return answer.substr(0, end);
    }

private:
    boost::asio::io_context context_;
    boost::asio::ip::tcp::socket socket_;
};

bool has_status(const std::string& answer, int status)
{
    return answer.starts_with("HTTP/1.1 " + std::to_string(status) + " ");
}

bool reaches(limited_service& service, std::size_t connections)
{
    const auto until = steady::now() + seconds{10};
    while (service.connections() != connections && steady::now() < until) {
        std::this_thread::sleep_for(milliseconds{2});
    }
    return service.connections() == connections;
}

TEST(client_limits, trailers_without_end_are_refused)
{
    limited_service service;
    client one(service.address);
    std::string fields;
    while (fields.size() < endless) {
        fields += "X-Trailer: x\r\n";
    }
    one.send(chunked_head + "1\r\nx\r\n0\r\n" + fields);
    EXPECT_TRUE(has_status(one.read_to_end(), 431));
}

TEST(client_limits, chunk_extension_without_end_is_refused)
{
    limited_service service;
    client one(service.address);
    one.send(chunked_head + "1;x=" + std::string(endless, 'x'));
    EXPECT_TRUE(has_status(one.read_to_end(), 431));
}

// Guards against extensions that are each within the limit, without end.
TEST(client_limits, chunk_extensions_are_limited_together)
{
    limited_service service;
    client one(service.address);
    std::string chunks;
    for (int count = 0; count < 100; ++count) {
        chunks += "1;x=" + std::string(header_bytes / 10, 'x') + "\r\nx\r\n";
    }
    one.send(chunked_head + chunks + "0\r\n\r\n");
    EXPECT_TRUE(has_status(one.read_to_end(), 431));
}

TEST(client_limits, short_trailers_and_extensions_are_served)
{
    limited_service service;
    client one(service.address);
    one.send(chunked_head + "1;x=y\r\nx\r\n0\r\nX-Trailer: x\r\n\r\n");
    EXPECT_TRUE(has_status(one.read_head(), 200));
}

TEST(client_limits, pipelined_requests_are_served)
{
    limited_service service;
    client one(service.address);
    std::string requests;
    for (int count = 0; count < 20; ++count) {
        requests += "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3000\r\n\r\n" + std::string(3000, 'x');
    }
    one.send(requests + "GET / HTTP/1.1\r\nConnection: close\r\n\r\n");
    const auto answers = one.read_to_end();
    std::size_t served = 0;
    for (auto at = answers.find("HTTP/1.1 200 "); at != std::string::npos;
         at = answers.find("HTTP/1.1 200 ", at + 1)) {
        ++served;
    }
    EXPECT_EQ(served, 21U);
}

TEST(client_limits, newer_connection_closes_the_one_that_has_waited_longest)
{
    limited_service service({.connections = 2});
    client first(service.address);
    ASSERT_TRUE(reaches(service, 1));
    client second(service.address);
    ASSERT_TRUE(reaches(service, 2));
    client third(service.address);
    EXPECT_EQ(first.read_to_end(), "");
    third.send("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
    EXPECT_TRUE(has_status(third.read_head(), 200));
    second.send("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
    EXPECT_TRUE(has_status(second.read_head(), 200));
}

// A client that has sent a part is told that nothing of it will run.
TEST(client_limits, half_request_that_is_given_up_gets_408)
{
    limited_service service({.connections = 1});
    client first(service.address);
    first.send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\nExpect: 100-continue\r\n\r\n");
    ASSERT_TRUE(first.read_head().starts_with("HTTP/1.1 100 "));
    client second(service.address);
    EXPECT_TRUE(has_status(first.read_to_end(), 408));
}

TEST(client_limits, head_without_room_is_closed_unread)
{
    limited_service service({.head_bytes = 1000});
    client one(service.address);
    one.send("GET / HTTP/1.1\r\nX-Long: " + std::string(1000, 'x'));
    EXPECT_TRUE(has_status(one.read_to_end(), 408));
}

// Guards against answers that add up while nobody reads them.
TEST(client_limits, answer_without_room_resets_its_connection)
{
    limited_service service({.body_bytes = endless / 2});
    client one(service.address);
    one.send("GET /large HTTP/1.1\r\nHost: h\r\n\r\n");
    EXPECT_EQ(one.read_to_end(), "");
    EXPECT_TRUE(
        has_status(raw_exchange(service.address, "GET / HTTP/1.1\r\nConnection: close\r\n\r\n"), 200));
}

} // namespace
} // namespace vanillagauge::net
