/// An HTTP/1.1 client connection that carries one request at a time.
#ifndef VANILLAGAUGE_NET_HTTP_CLIENT_HPP
#define VANILLAGAUGE_NET_HTTP_CLIENT_HPP

#include "net/exchange_history.hpp"
#include "net/http_message.hpp"
#include "net/response_head.hpp"
#include "net/task.hpp"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <variant>

namespace vanillagauge::net {

enum class failure_kind {
    refused,   ///< connection refused: the request was not sent
    timeout,   ///< deadline exceeded
    closed,    ///< closed or reset by the peer
    malformed, ///< the bytes received are not a valid HTTP response
    cancelled, ///< closed locally
    no_room,   ///< the response has no room here
};

const char* name(failure_kind kind);

struct http_failure {
    failure_kind kind = failure_kind::closed;
    bool sent = false; ///< whether any byte of the request may have reached the peer
    std::string detail{};
};

/// What ends a connection whose peer is silent.
enum class silence_limit {
    deadline,   ///< the deadlines of the operations only
    keep_alive, ///< keep-alive too, after about three seconds; for requests that may arrive late without harm
};

/// Shared by the connections to one peer.
struct peer_silence {
    time_point since{}; ///< when the last request was sent that got no byte of a response in its time
};

/// A part of the body; `last` marks the end of a complete body, where `bytes` may be empty.
struct body_piece {
    std::string bytes;
    bool last = false;
};

template <class Value>
using http_result = std::variant<Value, http_failure>;

/// Takes room for so many bytes in all; false if there is none.
using room_taker = std::function<bool(std::size_t bytes)>;

struct body_reader;

/// Every operation has its own deadline, because a peer can stop responding without closing the connection.
/// A connection that ends before its response is complete is reset: a request that is still on its way is
/// lost.
class http_connection {
public:
    explicit http_connection(loop& context, silence_limit limit = silence_limit::deadline);
    ~http_connection();
    http_connection(const http_connection&) = delete;
    http_connection& operator=(const http_connection&) = delete;

    /// `address` is IP:PORT.
    task<http_result<done>> connect(std::string address, time_point deadline);
    task<http_result<done>> send(const http_request& request, time_point deadline);
    /// As `send`, with another body than the request's, which is not copied.
    task<http_result<done>> send(const http_request& head, std::string_view body, time_point deadline);
    /// The head of the final response; `malformed` if it cannot be relied on.
    task<http_result<response_head>> read_head(time_point deadline);
    task<http_result<body_piece>> read_piece(time_point deadline);
    /// Reads the complete body; `malformed` if it exceeds `max_bytes`.
    task<http_result<std::string>> read_body(std::size_t max_bytes, time_point deadline);
    /// As above; `no_room` if `take_room` refuses the body.
    task<http_result<std::string>> read_body(std::size_t max_bytes, time_point deadline,
                                             room_taker take_room);
    /// Pending operations fail with `cancelled`.
    void close();

    /// Whether another request may be sent: the connection is open and has no unread bytes, which would be
    /// taken for the next response.
    bool reusable();
    bool reused() const { return requests_ > 1; }
    /// The exchanges for which the connection was acquired.
    exchange_history& history() { return history_; }
    void report_silence_to(std::shared_ptr<peer_silence> silence) { silence_ = std::move(silence); }

private:
    boost::beast::tcp_stream stream_;
    silence_limit silence_limit_;
    boost::beast::flat_buffer buffer_;
    std::unique_ptr<body_reader> reader_;
    bool sent_ = false;
    bool lost_while_sending_ = false; ///< other than by an orderly end of the response
    bool closed_ = false;
    int requests_ = 0;
    exchange_history history_;
    std::shared_ptr<peer_silence> silence_;
    time_point sent_at_{};
    std::string address_; ///< of the peer, once connected

    /// Reads into a new reader.
    task<boost::system::error_code> read_one_head(time_point deadline);
    /// Gives the reader what was received of a head; `need_more` if that is not the whole of it.
    boost::system::error_code parse_head();
    task<boost::system::error_code> receive();
    http_failure to_failure(const boost::system::error_code& code) const;
};

/// Sends a request and reads its complete response on an open connection.
task<http_result<http_response>> exchange(http_connection& connection, const http_request& request,
                                          std::size_t max_body, time_point deadline);

} // namespace vanillagauge::net

#endif
