// What one client can make a service hold.
#include "loopback.hpp"

#include <gtest/gtest.h>

#include <string>

namespace vanillagauge::net {
namespace {

constexpr std::size_t header_bytes = 2000;
constexpr std::size_t endless = std::size_t{4} << 20U; ///< far more than a connection may make a service hold

const std::string chunked_head = "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n";

class limited_service {
public:
    limited_service() { address = value(service_.open("127.0.0.1:0")); }

    std::string address;

private:
    loop_thread thread_;
    http_service service_{thread_.context(),
                          [] {
                              service_limits limits;
                              limits.header_bytes = header_bytes;
                              return limits;
                          },
                          [](http_request& request, responder& answer) { return serve(request, answer); }};

    static task<void> serve(http_request& request, responder& answer)
    {
        http_response response;
        response.body = std::to_string(request.body.size());
        co_await answer.send(std::move(response));
    }
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

} // namespace
} // namespace vanillagauge::net
