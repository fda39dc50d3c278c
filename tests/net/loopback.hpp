/// An event loop on its own thread, and raw TCP peers for malformed HTTP.
#ifndef VANILLAGAUGE_TESTS_NET_LOOPBACK_HPP
#define VANILLAGAUGE_TESTS_NET_LOOPBACK_HPP

#include "net/net.hpp"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>

#include <future>
#include <string>
#include <thread>

namespace vanillagauge::net {

class loop_thread {
public:
    loop_thread() : guard_(boost::asio::make_work_guard(context_)), thread_([this] { context_.run(); }) {}
    ~loop_thread()
    {
        context_.stop();
        thread_.join();
    }
    loop_thread(const loop_thread&) = delete;
    loop_thread& operator=(const loop_thread&) = delete;

    loop& context() { return context_; }

    /// Runs the task on the loop and blocks until it returns its value.
    template <class Value>
    Value run(task<Value> work)
    {
        std::promise<Value> promise;
        start(context_, finish(std::move(work), promise));
        return promise.get_future().get();
    }

private:
    template <class Value>
    static task<void> finish(task<Value> work, std::promise<Value>& promise)
    {
        auto value = co_await std::move(work);
        promise.set_value(std::move(value));
    }

    boost::asio::io_context context_;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> guard_;
    std::thread thread_;
};

/// Accepts one connection, reads a request head, and sends the given bytes.
class raw_server {
public:
    explicit raw_server(std::string answer)
        : acceptor_(context_, {boost::asio::ip::address_v4::loopback(), 0})
    {
        thread_ = std::thread([this, answer = std::move(answer)] {
            boost::asio::ip::tcp::socket socket(context_);
            acceptor_.accept(socket);
            boost::asio::streambuf buffer;
            boost::system::error_code ended;
            boost::asio::read_until(socket, buffer, "\r\n\r\n", ended);
            boost::asio::write(socket, boost::asio::buffer(answer), ended);
            released_.get_future().wait();
        });
    }
    ~raw_server()
    {
        released_.set_value();
        thread_.join();
    }
    raw_server(const raw_server&) = delete;
    raw_server& operator=(const raw_server&) = delete;

    std::string address() const { return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port()); }

private:
    boost::asio::io_context context_;
    boost::asio::ip::tcp::acceptor acceptor_;
    std::promise<void> released_;
    std::thread thread_;
};

/// Sends raw bytes and returns everything received until the peer closes.
inline std::string raw_exchange(const std::string& address, const std::string& bytes)
{
    boost::asio::io_context context;
    boost::asio::ip::tcp::socket socket(context);
    const auto port = static_cast<unsigned short>(std::stoi(address.substr(address.rfind(':') + 1)));
    socket.connect({boost::asio::ip::address_v4::loopback(), port});
    boost::system::error_code ended;
    boost::asio::write(socket, boost::asio::buffer(bytes), ended);
    std::string answer;
    boost::asio::read(socket, boost::asio::dynamic_buffer(answer), ended);
    return answer;
}

} // namespace vanillagauge::net

#endif
