#include "wire/wire.hpp"

#include "../drawn_bytes.hpp"
#include "target.pb.h"

#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <future>

// Malformed and hostile requests on raw sockets. The client must get a typed JSON error with `NOT_RUN` and a
// closed connection, and the server must go on serving others.

namespace vanillagauge::wire {
namespace {

using boost::asio::ip::tcp;
using nlohmann::json;

const std::string call_path = method<target::v1::PlainService>("Call");
const std::string stream_path = method<target::v1::Engine>("Generate");

class echo_service final : public target::v1::PlainService {
public:
    void Call(google::protobuf::RpcController* /*control*/, const target::v1::CallRequest* request,
              target::v1::CallReply* reply, google::protobuf::Closure* done) override
    {
        reply->set_request_id(request->request_id());
        done->Run();
    }
};

/// Responds when the test sets `release`.
class blocked_service final : public target::v1::PlainService {
public:
    std::promise<void> entered;
    std::promise<void> release;

    void Call(google::protobuf::RpcController* /*control*/, const target::v1::CallRequest* request,
              target::v1::CallReply* reply, google::protobuf::Closure* done) override
    {
        reply->set_request_id(request->request_id());
        entered.set_value();
        finisher_ = std::async(std::launch::async, [this, done] {
            release.get_future().wait();
            done->Run();
        });
    }

private:
    std::future<void> finisher_;
};

class blocked_engine final : public target::v1::Engine {
public:
    std::promise<void> entered;
    std::promise<void> release;

    void Generate(google::protobuf::RpcController* base, const target::v1::GenerateRequest* /*request*/,
                  target::v1::GenerateChunk* /*unused*/, google::protobuf::Closure* done) override
    {
        target::v1::GenerateChunk chunk;
        chunk.set_sequence(1);
        controller_of(base).write(chunk);
        entered.set_value();
        finisher_ = std::async(std::launch::async, [this, base, done] {
            release.get_future().wait();
            target::v1::GenerateChunk last;
            last.set_sequence(2);
            controller_of(base).write(last);
            done->Run();
        });
    }

private:
    std::future<void> finisher_;
};

http_limits short_limits()
{
    http_limits limits;
    limits.body_bytes = 1000;
    limits.header_bytes = 2000;
    limits.header_time = milliseconds{100};
    limits.body_time = milliseconds{100};
    limits.idle_time = milliseconds{20000};
    limits.linger_time = milliseconds{500};
    return limits;
}

class raw_client {
public:
    explicit raw_client(const std::string& address) : socket_(context_)
    {
        socket_.connect(tcp_endpoint(address));
    }

    /// Ignores errors: the server may close early, and its response can still be read.
    void send(const std::string& bytes)
    {
        boost::system::error_code ignored;
        boost::asio::write(socket_, boost::asio::buffer(bytes), ignored);
    }

    void end_sending() { socket_.shutdown(tcp::socket::shutdown_send); }

    std::string read_to_end()
    {
        std::string bytes;
        boost::system::error_code ended;
        boost::asio::read(socket_, boost::asio::dynamic_buffer(bytes), ended);
        return bytes;
    }

private:
    boost::asio::io_context context_;
    tcp::socket socket_;
};

struct answer {
    int status = 0;
    std::string head;
    std::string body;
};

answer parse(const std::string& bytes)
{
    const auto end = bytes.find("\r\n\r\n");
    if (end == std::string::npos) {
        return {};
    }
    return {std::stoi(bytes.substr(bytes.find(' ') + 1)), bytes.substr(0, end), bytes.substr(end + 4)};
}

std::string head(const std::string& more, const std::string& path = call_path)
{
    return "POST " + path + " HTTP/1.1\r\nHost: a\r\n" + more + "\r\n";
}

std::string request_with_body(const std::string& body, const std::string& more = "",
                              const std::string& path = call_path)
{
    return head("Content-Type: application/json\r\nConnection: close\r\n" + more +
                    "Content-Length: " + std::to_string(body.size()) + "\r\n",
                path) +
           body;
}

class input_limits : public testing::Test {
public:
    ~input_limits() override
    {
        // The server must still serve other clients.
        raw_client other(address);
        other.send(request_with_body(R"({"request_id":"r9"})"));
        const auto reply = parse(other.read_to_end());
        EXPECT_EQ(reply.status, 200);
        EXPECT_NE(reply.body.find("r9"), std::string::npos);
    }

protected:
    echo_service echo;
    dispatcher calls{access_table{}};
    http_server http{calls, short_limits()};
    std::string address;

    input_limits()
    {
        calls.mount(echo, role::anyone);
        address = value(http.open("127.0.0.1:0"));
    }

    answer exchange(const std::string& bytes, bool half_closed = false) const
    {
        raw_client client(address);
        client.send(bytes);
        if (half_closed) {
            client.end_sending();
        }
        return parse(client.read_to_end());
    }

    static void expect_error(const answer& reply, int status, const std::string& code)
    {
        ASSERT_EQ(reply.status, status) << reply.head << "\n" << reply.body;
        const auto body = json::parse(reply.body, nullptr, false);
        ASSERT_TRUE(body.is_object()) << reply.body;
        EXPECT_EQ(body.at("code"), code);
        EXPECT_EQ(body.at("run_state"), "NOT_RUN");
        EXPECT_FALSE(body.at("detail").get<std::string>().empty());
    }
};

const std::string json_type = "Content-Type: application/json\r\n";

TEST_F(input_limits, a_body_whose_announced_length_is_over_the_limit_is_refused_unread)
{
    expect_error(exchange(head(json_type + "Content-Length: 1000000000\r\n") + "{"), 413, "too_large");
}

TEST_F(input_limits, a_chunked_body_over_the_limit_is_refused)
{
    std::string bytes = head(json_type + "Transfer-Encoding: chunked\r\n");
    for (int index = 0; index < 64; ++index) {
        bytes += "100\r\n" + std::string(256, 'a') + "\r\n";
    }
    expect_error(exchange(bytes), 413, "too_large");
}

TEST_F(input_limits, a_chunked_body_within_the_limit_is_served)
{
    const std::string body = R"({"request_id":"r1"})";
    const auto reply = exchange(head(json_type + "Connection: close\r\nTransfer-Encoding: chunked\r\n") +
                                "13\r\n" + body + "\r\n0\r\n\r\n");
    EXPECT_EQ(reply.status, 200) << reply.body;
}

TEST_F(input_limits, a_body_without_a_length_is_an_empty_body)
{
    expect_error(exchange(head(json_type + "Connection: close\r\n")), 400, "invalid_argument");
}

TEST_F(input_limits, headers_over_the_limit_are_refused)
{
    expect_error(exchange(head("X-Long: " + std::string(100000, 'a') + "\r\n")), 431, "too_large");
}

// Guards against trailers, and extensions of a chunk, that the process keeps without end.
TEST_F(input_limits, trailers_over_the_limit_are_refused)
{
    std::string bytes = head(json_type + "Transfer-Encoding: chunked\r\n") + "2\r\n{}\r\n0\r\n";
    for (int index = 0; index < 2000; ++index) {
        bytes += "X-Trailer: " + std::string(100, 'a') + "\r\n";
    }
    expect_error(exchange(bytes), 431, "too_large");
}

TEST_F(input_limits, chunk_extension_over_the_limit_is_refused)
{
    expect_error(
        exchange(head(json_type + "Transfer-Encoding: chunked\r\n") + "2;x=" + std::string(200000, 'a')), 431,
        "too_large");
}

TEST_F(input_limits, incomplete_headers_time_out)
{
    expect_error(exchange("POST " + call_path + " HTTP/1.1\r\nHost: a\r\n"), 408, "deadline_exceeded");
}

TEST_F(input_limits, incomplete_body_times_out)
{
    expect_error(exchange(head(json_type + "Content-Length: 100\r\n") + "{\"requ"), 408, "deadline_exceeded");
}

TEST_F(input_limits, a_body_that_ends_early_is_incomplete)
{
    expect_error(exchange(head(json_type + "Content-Length: 100\r\n") + "{\"requ", true), 400, "incomplete");
}

TEST_F(input_limits, text_that_is_not_http_is_refused)
{
    expect_error(exchange("hello there\r\n\r\n"), 400, "invalid_argument");
}

TEST_F(input_limits, malformed_json_is_refused)
{
    expect_error(exchange(request_with_body("{\"request_id\": ")), 400, "invalid_argument");
    expect_error(exchange(request_with_body("")), 400, "invalid_argument");
    expect_error(exchange(request_with_body("\xff\xfe{}")), 400, "invalid_argument");
}

TEST_F(input_limits, a_field_of_the_wrong_type_is_named)
{
    const auto reply = exchange(request_with_body(R"({"request_id": {"a": 1}})"));
    expect_error(reply, 400, "invalid_argument");
    EXPECT_NE(reply.body.find("request_id"), std::string::npos) << reply.body;
}

TEST_F(input_limits, an_unknown_field_is_named)
{
    const auto reply = exchange(request_with_body(R"({"reqest_id": "r1"})"));
    expect_error(reply, 400, "invalid_argument");
    EXPECT_NE(reply.body.find("reqest_id"), std::string::npos) << reply.body;
}

TEST_F(input_limits, json_nested_too_deeply_is_refused)
{
    const auto nested = std::string(400, '[') + std::string(400, ']');
    const auto reply = exchange(request_with_body("{\"request_id\": " + nested + "}"));
    expect_error(reply, 400, "invalid_argument");
    EXPECT_NE(reply.body.find("levels"), std::string::npos) << reply.body;
}

TEST_F(input_limits, brackets_in_strings_do_not_count_as_nesting)
{
    EXPECT_EQ(exchange(request_with_body("{\"request_id\": \"" + std::string(400, '[') + "\\\"\"}")).status,
              200);
}

TEST_F(input_limits, an_unknown_method_is_refused)
{
    expect_error(exchange(request_with_body("{}", "", call_path + "x")), 404, "unimplemented");
}

TEST_F(input_limits, unsupported_content_type_is_refused)
{
    expect_error(exchange(head("Content-Type: text/xml\r\nContent-Length: 2\r\n") + "{}"), 415,
                 "invalid_argument");
}

TEST_F(input_limits, unsupported_http_method_is_refused)
{
    const auto reply = exchange("DELETE " + call_path + " HTTP/1.1\r\nHost: a\r\n\r\n");
    expect_error(reply, 405, "invalid_argument");
    EXPECT_NE(reply.head.find("Allow: GET, POST"), std::string::npos) << reply.head;
}

TEST_F(input_limits, a_timeout_header_that_is_no_number_is_refused)
{
    expect_error(exchange(request_with_body("{}", "X-Timeout-Ms: soon\r\n")), 400, "invalid_argument");
    expect_error(exchange(request_with_body("{}", "X-Timeout-Ms: -5\r\n")), 400, "invalid_argument");
    expect_error(exchange(request_with_body("{}", "X-Timeout-Ms: 99999999999999999999\r\n")), 400,
                 "invalid_argument");
}

TEST_F(input_limits, two_requests_in_one_write_are_answered_in_their_order)
{
    const std::string first = R"({"request_id":"first"})";
    const auto bytes = head(json_type + "Content-Length: " + std::to_string(first.size()) + "\r\n") + first +
                       request_with_body("{}");
    raw_client client(address);
    client.send(bytes);
    const auto replies = client.read_to_end();
    const auto position = replies.find("first");
    ASSERT_NE(position, std::string::npos) << replies;
    EXPECT_NE(replies.find("HTTP/1.1 200", position), std::string::npos) << replies;
}

TEST_F(input_limits, the_answer_echoes_the_callers_trace)
{
    const auto reply = exchange(
        request_with_body("{}", "traceparent: 00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01\r\n"));
    EXPECT_NE(reply.head.find("traceparent: 00-0af7651916cd43dd8448eb211c80319c-"), std::string::npos)
        << reply.head;
}

TEST(connection_limit, excess_connection_gets_retry_after)
{
    echo_service echo;
    dispatcher calls{access_table{}};
    calls.mount(echo, role::anyone);
    auto limits = short_limits();
    limits.connections = 1;
    http_server http(calls, limits);
    const auto address = value(http.open("127.0.0.1:0"));
    raw_client first(address);
    raw_client second(address);
    const auto reply = parse(second.read_to_end());
    EXPECT_EQ(reply.status, 429);
    EXPECT_NE(reply.head.find("Retry-After: 1"), std::string::npos) << reply.head;
}

bool refuses_connections(const std::string& address)
{
    boost::asio::io_context context;
    tcp::socket socket(context);
    boost::system::error_code failed;
    socket.connect(tcp_endpoint(address), failed);
    return bool(failed);
}

// Guards against a shutdown that cuts a call in flight or still accepts connections.
TEST(graceful_shutdown, call_in_flight_completes_and_new_connections_are_refused)
{
    blocked_service slow;
    dispatcher calls{access_table{}};
    calls.mount(slow, role::anyone);
    http_server http(calls, short_limits());
    const auto address = value(http.open("127.0.0.1:0"));
    raw_client client(address);
    client.send(request_with_body(R"({"request_id":"r1"})"));
    slow.entered.get_future().wait();
    auto closed = std::async(std::launch::async, [&http] { http.close(); });
    while (!refuses_connections(address)) {
        std::this_thread::yield();
    }
    slow.release.set_value();
    const auto reply = parse(client.read_to_end());
    EXPECT_EQ(reply.status, 200);
    EXPECT_NE(reply.body.find("r1"), std::string::npos);
    closed.get();
}

TEST(graceful_shutdown, stream_in_flight_completes)
{
    blocked_engine engine;
    dispatcher calls{access_table{}};
    calls.mount(engine, role::anyone);
    http_server http(calls, short_limits());
    const auto address = value(http.open("127.0.0.1:0"));
    raw_client client(address);
    client.send(request_with_body("{}", "", stream_path));
    engine.entered.get_future().wait();
    auto closed = std::async(std::launch::async, [&http] { http.close(); });
    while (!refuses_connections(address)) {
        std::this_thread::yield();
    }
    engine.release.set_value();
    const auto bytes = client.read_to_end();
    EXPECT_NE(bytes.find("\"sequence\":2"), std::string::npos) << bytes;
    EXPECT_TRUE(bytes.ends_with("0\r\n\r\n")) << bytes;
    closed.get();
}

// Guards against a shutdown that waits without end for the rest of a request body; `body_time` bounds it.
TEST(graceful_shutdown, incomplete_body_does_not_block_shutdown)
{
    echo_service echo;
    dispatcher calls{access_table{}};
    calls.mount(echo, role::anyone);
    http_server http(calls, short_limits());
    const auto address = value(http.open("127.0.0.1:0"));
    raw_client client(address);
    client.send(head(json_type + "Content-Length: 100\r\n") + "{");
    http.close();
    EXPECT_TRUE(refuses_connections(address));
    EXPECT_EQ(parse(client.read_to_end()).status, 408);
}

} // namespace
} // namespace vanillagauge::wire
