#include "tests/net/loopback.hpp"
#include "wire/event_loop.hpp"

#include <boost/asio/post.hpp>
#include <gtest/gtest.h>

#include <atomic>

namespace vanillagauge::net {
namespace {

using boost::asio::ip::tcp;

/// A service with a slow handler.
struct slow_service {
    loop_thread thread;
    std::atomic<int> handled{0};
    milliseconds work;
    http_service service;
    std::string address;

    explicit slow_service(milliseconds takes)
        : work(takes), service(
                           thread.context(), [] { return service_limits{}; },
                           [this](const http_request&, responder& answer) -> task<void> {
                               ++handled;
                               co_await sleep_for(thread.context(), work);
                               http_response response;
                               response.body = "done";
                               co_await answer.send(std::move(response));
                           })
    {
        address = value(service.open("127.0.0.1:0"));
    }
    void on_loop(const std::function<void()>& what)
    {
        std::promise<void> done;
        boost::asio::post(thread.context(), [&] {
            what();
            done.set_value();
        });
        done.get_future().wait();
    }
};

struct raw_client {
    boost::asio::io_context context;
    tcp::socket socket{context};
    explicit raw_client(const std::string& address)
    {
        const auto port = static_cast<unsigned short>(std::stoi(address.substr(address.rfind(':') + 1)));
        socket.connect({boost::asio::ip::address_v4::loopback(), port});
    }
    void send(const std::string& text)
    {
        boost::system::error_code ended;
        boost::asio::write(socket, boost::asio::buffer(text), ended);
    }
    std::string read_all()
    {
        std::string answer;
        boost::system::error_code ended;
        boost::asio::read(socket, boost::asio::dynamic_buffer(answer), ended);
        return answer;
    }
};

std::size_t count(const std::string& text, const std::string& what)
{
    std::size_t found = 0;
    for (auto at = text.find(what); at != std::string::npos; at = text.find(what, at + 1)) {
        ++found;
    }
    return found;
}

// Guards against a request completed after the service gave up that is handled and then cut off.
TEST(closing_service, answers_partially_read_request_after_give_up)
{
    slow_service running(seconds(3));
    raw_client client(running.address);
    client.send("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nhi");
    std::this_thread::sleep_for(milliseconds(50));
    http_response ending;
    ending.status = 502;
    running.on_loop([&] {
        running.service.close();
        running.service.abort_requests(ending);
    });
    client.send("ho");
    auto text = std::async(std::launch::async, [&] { return client.read_all(); });
    const bool answered = text.wait_for(milliseconds(400)) == std::future_status::ready;
    EXPECT_TRUE(answered);
    EXPECT_EQ(running.handled, 0) << "given to its handler after the service gave up";
    text.wait();
}

// Guards against a completely read pipelined request that is discarded.
TEST(closing_service, answers_pipelined_request_while_draining)
{
    slow_service running(milliseconds(400));
    raw_client client(running.address);
    const std::string one = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
    client.send(one + one);
    std::this_thread::sleep_for(milliseconds(50));
    running.on_loop([&] { running.service.drain(); });
    EXPECT_EQ(count(client.read_all(), "HTTP/1.1 "), 2U);
}

// Guards against cutting off a started response although there is time to complete it.
TEST(closing_service, completes_started_response_after_give_up)
{
    loop_thread thread;
    std::promise<void> begun;
    http_service service(
        thread.context(), [] { return service_limits{}; },
        [&](const http_request&, responder& answer) -> task<void> {
            http_fields fields;
            co_await answer.begin(200, std::move(fields));
            begun.set_value();
            for (int piece = 0; piece < 10; ++piece) {
                co_await sleep_for(thread.context(), milliseconds(50));
                std::string text = "piece";
                co_await answer.write(std::move(text));
            }
            co_await answer.finish();
        });
    raw_client client(value(service.open("127.0.0.1:0")));
    client.send("GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
    begun.get_future().wait();
    http_response ending;
    ending.status = 502;
    boost::asio::post(thread.context(), [&] { service.abort_requests(ending); });
    const auto text = client.read_all();
    EXPECT_NE(text.find("0\r\n\r\n"), std::string::npos);
    EXPECT_EQ(text.find("HTTP/1.1 502"), std::string::npos);
}

// Guards against a response larger than the socket buffers that is cut off when the service closes.
TEST(closing_service, sends_large_response_completely)
{
    loop_thread thread;
    http_service service(
        thread.context(), [] { return service_limits{}; },
        [&](const http_request&, responder& answer) -> task<void> {
            http_response response;
            response.body.assign(32U << 20U, 'x');
            co_await answer.send(std::move(response));
        });
    raw_client client(value(service.open("127.0.0.1:0")));
    client.send("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
    std::this_thread::sleep_for(milliseconds(300));
    std::promise<std::size_t> held;
    boost::asio::post(thread.context(), [&] {
        service.close();
        held.set_value(service.connections() + service.in_flight());
    });
    EXPECT_EQ(held.get_future().get(), 2U);
    EXPECT_GT(client.read_all().size(), 32U << 20U);
}

// Guards against closing a connection as idle although a request arrived while the loop was blocked.
TEST(closing_service, answers_request_received_while_loop_blocked)
{
    for (int turn = 0; turn < 5; ++turn) {
        slow_service running(milliseconds(1));
        raw_client client(running.address);
        std::this_thread::sleep_for(milliseconds(30));
        boost::asio::post(running.thread.context(), [&] { running.service.close(); });
        std::this_thread::sleep_for(milliseconds(30));
        boost::asio::post(running.thread.context(), [] { std::this_thread::sleep_for(milliseconds(400)); });
        std::this_thread::sleep_for(milliseconds(100));
        client.send("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
        EXPECT_EQ(count(client.read_all(), "HTTP/1.1 200"), 1U);
    }
}

// Guards against an endless wait for a loop that was stopped on its own thread.
TEST(event_loop, runs_work_after_a_stop_on_its_own_thread)
{
    auto loop = std::make_unique<wire::event_loop>();
    loop->post([&] { loop->stop(); });
    std::this_thread::sleep_for(milliseconds(100));
    std::promise<void> ran;
    auto done = ran.get_future();
    std::thread([&loop = *loop, &ran] { loop.run_and_wait([&ran] { ran.set_value(); }); }).detach();
    const bool ended = done.wait_for(seconds(2)) == std::future_status::ready;
    EXPECT_TRUE(ended);
    if (!ended) {
        std::_Exit(1); // the waiting thread can't be ended
    }
}

} // namespace
} // namespace vanillagauge::net
