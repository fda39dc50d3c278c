#include "wire/wire.hpp"

#include "target.pb.h"

#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <gtest/gtest.h>

#include <future>
#include <thread>

namespace vanillagauge::wire {
namespace {

using boost::asio::ip::tcp;

constexpr std::string_view last_chunk = "\r\n0\r\n\r\n";

/// Starts a stream and ends it on `release`.
class paused_stream final : public target::v1::Engine {
public:
    std::promise<void> release;

    void Generate(google::protobuf::RpcController* control, const target::v1::GenerateRequest* /*request*/,
                  target::v1::GenerateChunk* /*unused*/, google::protobuf::Closure* done) override
    {
        target::v1::GenerateChunk chunk;
        chunk.set_sequence(1);
        controller_of(control).write(chunk);
        ending_ = std::async(std::launch::async, [this, done] {
            release.get_future().wait();
            done->Run();
        });
    }

private:
    std::future<void> ending_;
};

// Guards against dropping a request on a connection whose last response announced keep-alive.
TEST(kept_connection, stays_open_after_stream_started_before_stop)
{
    paused_stream engine;
    dispatcher calls{{}};
    calls.mount(engine, role::anyone);
    http_limits limits;
    limits.drain_grace = milliseconds(2000);
    http_server server(calls, limits, {{"/page", [] { return std::string("the page"); }}});
    const auto address = value(server.open("127.0.0.1:0"));

    boost::asio::io_context context;
    tcp::socket client(context);
    const auto port = std::stoi(address.substr(address.rfind(':') + 1));
    client.connect({boost::asio::ip::make_address("127.0.0.1"), static_cast<unsigned short>(port)});
    const auto send = [&](const std::string& bytes) { write(client, boost::asio::buffer(bytes)); };
    send("POST " + method<target::v1::Engine>("Generate") +
         " HTTP/1.1\r\nHost: h\r\nContent-Type: application/json\r\nContent-Length: 2\r\n\r\n{}");
    std::string stream;
    const auto head = read_until(client, boost::asio::dynamic_buffer(stream), "\r\n\r\n");
    ASSERT_EQ(stream.substr(0, head).find("Connection: close"), std::string::npos);

    std::thread stop([&server] { server.close(); });
    std::this_thread::sleep_for(milliseconds(100)); // the stop reaches the connection
    engine.release.set_value();
    read_until(client, boost::asio::dynamic_buffer(stream), last_chunk);
    send("GET /page HTTP/1.1\r\nHost: h\r\n\r\n");
    std::string answer;
    boost::system::error_code ended;
    read(client, boost::asio::dynamic_buffer(answer), ended);
    stop.join();
    EXPECT_NE(answer.find("the page"), std::string::npos);
    EXPECT_NE(answer.find("Connection: close"), std::string::npos);
}

} // namespace
} // namespace vanillagauge::wire
