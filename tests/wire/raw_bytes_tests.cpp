#include "wire/wire.hpp"

#include "../drawn_bytes.hpp"
#include "target.pb.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>
#include <gtest/gtest.h>

#include <atomic>
#include <future>
#include <random>
#include <thread>

// Drawn changes to sound messages, on raw sockets. `--gtest_shuffle --gtest_random_seed=N` draws others.

namespace vanillagauge::wire {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

constexpr int server_rounds = 1500;
constexpr int client_rounds = 400;
constexpr milliseconds call_timeout{300};

class echo_service final : public target::v1::PlainService {
public:
    void Call(google::protobuf::RpcController* /*control*/, const target::v1::CallRequest* request,
              target::v1::CallReply* reply, google::protobuf::Closure* done) override
    {
        reply->set_request_id(request->request_id());
        reply->set_body(request->body());
        done->Run();
    }
};

class short_engine final : public target::v1::Engine {
public:
    void Generate(google::protobuf::RpcController* base, const target::v1::GenerateRequest* /*request*/,
                  target::v1::GenerateChunk* /*unused*/, google::protobuf::Closure* done) override
    {
        target::v1::GenerateChunk chunk;
        chunk.set_sequence(1);
        controller_of(base).write(chunk);
        done->Run();
    }
};

std::string request_to(const std::string& path, const std::string& type, const std::string& body)
{
    return "POST " + path + " HTTP/1.1\r\nHost: h\r\nConnection: close\r\nX-Timeout-Ms: 300\r\n" +
           "traceparent: 00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01\r\n" +
           "Authorization: Bearer t\r\nContent-Type: " + type +
           "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::vector<std::string> sound_requests()
{
    const auto call_path = method<target::v1::PlainService>("Call");
    const auto stream_path = method<target::v1::Engine>("Generate");
    target::v1::CallRequest request;
    request.set_request_id("r1");
    request.set_body("hello");
    const std::string json = R"({"request_id":"r1","method":"m","body":"aGVsbG8="})";
    return {request_to(call_path, "application/json", json),
            request_to(call_path, "application/x-protobuf", request.SerializeAsString()),
            request_to(stream_path, "application/json", "{}"),
            "GET /metrics HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n",
            "POST " + call_path +
                " HTTP/1.1\r\nHost: h\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n"
                "2\r\n{}\r\n0\r\n\r\n"};
}

std::future<result<std::string>> start_call(channel& link, const std::string& id)
{
    auto promise = std::make_shared<std::promise<result<std::string>>>();
    call_options options;
    options.timeout = call_timeout;
    target::v1::CallRequest request;
    request.set_request_id(id);
    call<target::v1::CallReply>(link, method<target::v1::PlainService>("Call"), request, options,
                                [promise](const result<target::v1::CallReply>& reply) {
                                    promise->set_value(ok(reply)
                                                           ? result<std::string>(value(reply).request_id())
                                                           : result<std::string>(failure(reply)));
                                });
    return promise->get_future();
}

/// The services that the programs' servers have in common: calls, streams and pages.
struct served_calls {
    echo_service echo;
    short_engine engine;
    dispatcher calls{access_table{}};

    served_calls()
    {
        calls.mount(echo, role::anyone);
        calls.mount(engine, role::anyone);
    }
};

// Guards against any bytes of a client that end a program.
TEST(raw_bytes, end_no_http_server)
{
    served_calls services;
    http_limits limits;
    limits.header_time = milliseconds{100};
    limits.body_time = milliseconds{100};
    http_server server(services.calls, limits, {{"/metrics", [] { return std::string("m 1\n"); }}});
    const auto address = value(server.open("127.0.0.1:0"));
    std::mt19937_64 random(drawn_seed());
    const auto sound = sound_requests();
    for (int round = 0; round < server_rounds; ++round) {
        send_raw(address, with_few_changes(sound[random() % sound.size()], random));
    }
    event_loop loop;
    http_channel link(loop, address);
    const auto reply = start_call(link, "r2").get();
    ASSERT_TRUE(ok(reply)) << describe(failure(reply));
    EXPECT_EQ(value(reply), "r2");
}

/// The preface of HTTP/2, empty settings, and a request's headers without an index.
std::string sound_http2()
{
    using namespace std::string_literals;
    const auto headers = "\x82\x86\x44\x0a/some/path\x41\x01h"s; // GET, http, :path, :authority
    const auto frame = std::string{0, 0, static_cast<char>(headers.size()), 1, 5, 0, 0, 0, 1} + headers;
    return "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"s + "\0\0\0\4\0\0\0\0\0"s + frame;
}

TEST(raw_bytes, end_no_peer_server)
{
    served_calls services;
    event_loop loop;
    peer_server server(loop, services.calls);
    const auto address = value(server.open("127.0.0.1:0"));
    std::mt19937_64 random(drawn_seed());
    for (int round = 0; round < server_rounds; ++round) {
        send_raw(address, with_few_changes(sound_http2(), random));
    }
    peer_channel link(loop, address);
    const auto reply = start_call(link, "r2").get();
    ASSERT_TRUE(ok(reply)) << describe(failure(reply));
    EXPECT_EQ(value(reply), "r2");
    server.close();
}

/// Answers each connection's request with changed bytes and closes it.
class changing_server {
public:
    changing_server() : acceptor_(context_, {asio::ip::address_v4::loopback(), 0})
    {
        thread_ = std::thread([this] { serve(); });
    }
    ~changing_server()
    {
        stopping_ = true;
        tcp::socket unblock(context_);
        unblock.connect(acceptor_.local_endpoint());
        thread_.join();
    }
    changing_server(const changing_server&) = delete;
    changing_server& operator=(const changing_server&) = delete;

    std::string address() const { return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port()); }

private:
    asio::io_context context_;
    tcp::acceptor acceptor_;
    std::atomic<bool> stopping_{false};
    std::thread thread_;

    void serve()
    {
        const std::string body = R"({"request_id":"r1","body":"aGVsbG8="})";
        const std::string sound =
            "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nConnection: close\r\nContent-Length: " +
            std::to_string(body.size()) + "\r\n\r\n" + body;
        const std::string chunked =
            "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n"
            "2\r\n{}\r\n0\r\n\r\n";
        std::mt19937_64 random(drawn_seed());
        while (true) {
            auto socket = acceptor_.accept();
            if (stopping_) {
                return;
            }
            boost::system::error_code failed;
            asio::streambuf bytes;
            asio::read_until(socket, bytes, '}', failed);
            asio::write(socket, asio::buffer(with_few_changes(random() % 2 == 0 ? sound : chunked, random)),
                        failed);
        }
    }
};

// Guards against any bytes of a target that end a program or leave a call without its end.
TEST(raw_bytes, end_each_call_once)
{
    changing_server server;
    event_loop loop;
    for (int round = 0; round < client_rounds; ++round) {
        http_channel link(loop, server.address());
        auto ended = start_call(link, "r1");
        ASSERT_EQ(ended.wait_for(seconds{20}), std::future_status::ready);
    }
}

} // namespace
} // namespace vanillagauge::wire
