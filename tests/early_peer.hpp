/// An HTTP peer that responds to each request before it has read the request's body; for tests.
#ifndef VANILLAGAUGE_TESTS_EARLY_PEER_HPP
#define VANILLAGAUGE_TESTS_EARLY_PEER_HPP

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>

#include <sys/socket.h>

#include <array>
#include <atomic>
#include <functional>
#include <limits>
#include <string>
#include <thread>
#include <utility>

namespace vanillagauge {

/// What the peer does after its response, while the request's body is still being sent.
enum class early_end {
    reset,
    fin_then_reset, ///< ends the response in order, and then does not read the rest of the request
    fin_then_read,  ///< ends the response in order, and reads the rest of the request
};

/// A request's body must be larger than what the sockets of both sides hold, some 4 MB, for its sender to be
/// writing when the connection ends.
class early_peer {
public:
    using head = boost::beast::http::request_header<>;
    using script = std::function<std::string(const head&)>;

    /// The script, which a thread of the peer calls, makes the bytes of a response.
    early_peer(script response, early_end end) : response_(std::move(response)), end_(end)
    {
        // A small buffer is taken over by the accepted sockets.
        acceptor_.open(tcp::v4());
        acceptor_.set_option(boost::asio::socket_base::receive_buffer_size(receive_buffer_bytes));
        acceptor_.bind({boost::asio::ip::address_v4::loopback(), 0});
        acceptor_.listen();
        thread_ = std::thread([this] { accept(); });
    }
    ~early_peer()
    {
        ::shutdown(acceptor_.native_handle(), SHUT_RDWR);
        thread_.join();
    }
    early_peer(const early_peer&) = delete;
    early_peer& operator=(const early_peer&) = delete;

    std::string address() const { return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port()); }
    /// Those with a body.
    int requests() const { return requests_; }

private:
    using tcp = boost::asio::ip::tcp;

    static constexpr int receive_buffer_bytes = 16 << 10;

    script response_;
    early_end end_;
    std::atomic<int> requests_ = 0;
    boost::asio::io_context context_;
    tcp::acceptor acceptor_{context_};
    std::thread thread_;

    void accept()
    {
        while (true) {
            tcp::socket socket(context_);
            boost::system::error_code failed;
            acceptor_.accept(socket, failed);
            if (failed) {
                return;
            }
            serve(socket);
        }
    }

    void serve(tcp::socket& socket)
    {
        namespace http = boost::beast::http;
        boost::beast::flat_buffer buffer;
        http::request_parser<http::empty_body> request;
        request.body_limit(std::numeric_limits<std::uint64_t>::max());
        boost::system::error_code failed;
        http::read_header(socket, buffer, request, failed);
        if (failed) {
            return;
        }
        requests_ += request.is_done() ? 0 : 1;
        boost::asio::write(socket, boost::asio::buffer(response_(request.get())), failed);
        if (end_ != early_end::reset) {
            socket.shutdown(tcp::socket::shutdown_send, failed);
        }
        if (end_ == early_end::fin_then_read) {
            read_rest(socket);
        }
        else {
            socket.set_option(boost::asio::socket_base::linger(true, 0), failed);
        }
        socket.close(failed);
    }

    static void read_rest(tcp::socket& socket)
    {
        std::array<char, 64U << 10U> bytes{};
        boost::system::error_code ended;
        while (!ended) {
            socket.read_some(boost::asio::buffer(bytes), ended);
        }
    }
};

} // namespace vanillagauge

#endif
