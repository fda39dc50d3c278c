/// One accepted HTTP/1.1 connection, using Boost.Beast: one call at a time, bounded reads and writes.
#ifndef VANILLAGAUGE_WIRE_INTERNAL_HTTP_CONNECTION_HPP
#define VANILLAGAUGE_WIRE_INTERNAL_HTTP_CONNECTION_HPP

#include "wire/http_server.hpp"
#include "wire/internal/http_reply.hpp"
#include "wire/internal/live_connections.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <atomic>
#include <deque>
#include <functional>
#include <memory>
#include <optional>

namespace vanillagauge::wire::internal {

/// State shared by the connections of a server.
struct server_context {
    const dispatcher& calls;
    http_limits limits;
    std::map<std::string, std::function<std::string()>> pages;
    live_connections& live;
};

/// Member functions run on the strand of the socket unless documented otherwise.
class http_connection : public std::enable_shared_from_this<http_connection> {
public:
    using socket = boost::asio::ip::tcp::socket;

    http_connection(socket peer, const server_context& context);

    /// Callable from any thread. `on_end` runs once, when the socket is closed.
    void start(std::function<void()> on_end);
    /// Callable from any thread. Closes after the current response; an idle connection closes after
    /// `drain_grace`.
    void drain();
    /// Callable from any thread. Sends this error and closes.
    void reject_connection(const error& failure, std::function<void()> on_end);

private:
    enum class stage { idle, head, body, call, ended };
    using parser = boost::beast::http::request_parser<boost::beast::http::string_body>;

    live_connections::entry live_; ///< first, so that it counts until the socket is destroyed
    socket socket_;
    boost::asio::steady_timer read_timer_;
    boost::asio::steady_timer write_timer_;
    const server_context& context_;
    boost::beast::flat_buffer buffer_;
    std::optional<parser> parser_;
    std::function<void()> on_end_;
    std::deque<std::string> outgoing_;
    std::size_t outgoing_bytes_ = 0;
    reply_options reply_options_;
    stage stage_ = stage::ended;
    bool draining_ = false;
    bool read_timed_out_ = false;
    bool writing_ = false;
    bool reply_complete_ = false; ///< the current response is completely queued in `outgoing_`
    bool stream_started_ = false;
    std::atomic<bool> client_disconnected_{false}; ///< read by handlers on any thread

    void await_request();
    void read_head();
    void on_head(boost::system::error_code failed);
    void read_body();
    void on_body(boost::system::error_code failed);
    void arm_read_timer(milliseconds time);
    void reject_request(const error& failure, unsigned status);
    std::optional<error> check_head(unsigned& status);

    void serve();
    void serve_page();
    void serve_call();
    reply_sink streaming_sink();
    reply_sink unary_sink();
    void add_chunk(const std::string& bytes);
    void finish_stream(const result<std::string>& outcome);

    void queue(std::string bytes);
    void finish_reply(std::string bytes);
    void write_next();
    void on_written(boost::system::error_code failed);
    void on_reply_sent();
    void linger();
    void discard();
    void end();
};

} // namespace vanillagauge::wire::internal

#endif
