#include "loopback.hpp"

#include <gtest/gtest.h>

namespace vanillagauge::net {
namespace {

namespace asio = boost::asio;

constexpr milliseconds patience{10000};
constexpr std::size_t max_body = 256U << 10U;

/// Sends a beginning and then a piece again and again until the peer closes; counts the bytes sent.
class endless_server {
public:
    endless_server(std::string beginning, std::string piece)
        : acceptor_(context_, {asio::ip::address_v4::loopback(), 0})
    {
        thread_ = std::thread([this, beginning = std::move(beginning), piece = std::move(piece)] {
            asio::ip::tcp::socket socket(context_);
            acceptor_.accept(socket);
            boost::system::error_code ended;
            asio::write(socket, asio::buffer(beginning), ended);
            while (!ended) {
                asio::write(socket, asio::buffer(piece), ended);
            }
        });
    }
    ~endless_server() { thread_.join(); }
    endless_server(const endless_server&) = delete;
    endless_server& operator=(const endless_server&) = delete;

    std::string address() const { return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port()); }

private:
    asio::io_context context_;
    asio::ip::tcp::acceptor acceptor_;
    std::thread thread_;
};

task<http_result<http_response>> fetch(loop& where, std::string address)
{
    http_connection connection(where);
    const auto until = steady::now() + patience;
    const auto connected = co_await connection.connect(address, until);
    if (const auto* failed = std::get_if<http_failure>(&connected)) {
        co_return *failed;
    }
    http_request request;
    request.fields.add("Host", "test");
    co_return co_await exchange(connection, request, max_body, until);
}

/// How the exchange with a peer fails that sends without end.
failure_kind failure_of(const std::string& beginning, const std::string& piece)
{
    loop_thread thread;
    endless_server server(beginning, piece);
    const auto outcome = thread.run(fetch(thread.context(), server.address()));
    const auto* failed = std::get_if<http_failure>(&outcome);
    return failed == nullptr ? failure_kind::cancelled : failed->kind;
}

const std::string chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
const std::string some(1000, 'x');

// Each guards against a peer that fills the memory, or holds a request for its whole time, with bytes without
// end.

TEST(endless_response, in_a_status_line_is_malformed)
{
    EXPECT_EQ(failure_of("HTTP/1.1 200 ", some), failure_kind::malformed);
}

TEST(endless_response, in_a_field_is_malformed)
{
    EXPECT_EQ(failure_of("HTTP/1.1 200 OK\r\nName: ", some), failure_kind::malformed);
}

TEST(endless_response, in_fields_is_malformed)
{
    EXPECT_EQ(failure_of("HTTP/1.1 200 OK\r\n", "Name: value\r\n"), failure_kind::malformed);
}

TEST(endless_response, in_interim_responses_is_malformed)
{
    EXPECT_EQ(failure_of("", "HTTP/1.1 100 Continue\r\n\r\n"), failure_kind::malformed);
}

TEST(endless_response, in_a_body_is_malformed)
{
    EXPECT_EQ(failure_of("HTTP/1.1 200 OK\r\n\r\n", some), failure_kind::malformed);
}

TEST(endless_response, in_chunks_is_malformed)
{
    EXPECT_EQ(failure_of(chunked, "1\r\nx\r\n"), failure_kind::malformed);
}

TEST(endless_response, in_a_chunk_extension_is_malformed)
{
    EXPECT_EQ(failure_of(chunked + "1;name=", some), failure_kind::malformed);
}

TEST(endless_response, in_trailers_is_malformed)
{
    EXPECT_EQ(failure_of(chunked + "0\r\n", "Name: value\r\n"), failure_kind::malformed);
}

// Guards against an interim response that is taken for the final one.
TEST(http_connection, reads_the_response_behind_interim_ones)
{
    loop_thread thread;
    raw_server server("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"
                      "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
    const auto outcome = thread.run(fetch(thread.context(), server.address()));
    ASSERT_TRUE(std::holds_alternative<http_response>(outcome));
    EXPECT_EQ(std::get<http_response>(outcome).status, 200);
    EXPECT_EQ(std::get<http_response>(outcome).body, "ok");
}

TEST(event_reader, gives_up_an_event_without_end)
{
    for (const std::string piece : {"data: x\n", ": x\n", "\n", "x"}) {
        event_reader reader;
        std::size_t fed = 0;
        while (!reader.too_long() && fed <= event_reader::max_event_bytes + piece.size()) {
            EXPECT_TRUE(reader.feed(piece).empty());
            fed += piece.size();
        }
        EXPECT_TRUE(reader.too_long()) << piece;
        EXPECT_FALSE(reader.has_partial_event()) << piece;
    }
}

} // namespace
} // namespace vanillagauge::net
