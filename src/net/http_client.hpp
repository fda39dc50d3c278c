/// One client connection, one request at a time.
#ifndef VANILLAGAUGE_NET_HTTP_CLIENT_HPP
#define VANILLAGAUGE_NET_HTTP_CLIENT_HPP

#include "net/http_message.hpp"
#include "net/task.hpp"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include <memory>
#include <optional>
#include <string>
#include <variant>

namespace vanillagauge::net {

enum class failure_kind {
    refused,   ///< nobody listens: the request was not sent
    timeout,   ///< no progress in time
    closed,    ///< ended or reset by the peer
    malformed, ///< bytes that are no answer in the protocol
    cancelled, ///< closed by this side
};

const char* name(failure_kind kind);

struct http_failure {
    failure_kind kind = failure_kind::closed;
    bool sent = false; ///< whether any byte of the request may have reached the peer
    std::string detail{};
};

struct response_head {
    int status = 0;
    http_fields fields{};
    bool keep_alive = false; ///< the connection may carry another request once the body has been read whole
};

/// A piece of the body; empty text with `last` set at the end of a whole body.
struct body_piece {
    std::string bytes;
    bool last = false;
};

template <class Value>
using http_result = std::variant<Value, http_failure>;

struct body_reader;

/// Every wait ends by a deadline of its own: an open connection may go silent for good.
class http_connection {
public:
    explicit http_connection(loop& context);
    ~http_connection();
    http_connection(const http_connection&) = delete;
    http_connection& operator=(const http_connection&) = delete;

    /// `address` is IP:PORT.
    task<http_result<done>> connect(std::string address, time_point deadline);
    task<http_result<done>> send(const http_request& request, time_point deadline);
    task<http_result<response_head>> read_head(time_point deadline);
    task<http_result<body_piece>> read_piece(time_point deadline);
    /// The whole body, at most `max_bytes` bytes.
    task<http_result<std::string>> read_body(std::size_t max_bytes, time_point deadline);
    /// Ends every wait with `cancelled`.
    void close();

    /// Whether another request may be sent: open, and no byte stands unread, which would belong to no
    /// request.
    bool reusable();
    bool reused() const { return requests_ > 1; }

private:
    boost::beast::tcp_stream stream_;
    boost::beast::flat_buffer buffer_;
    std::unique_ptr<body_reader> reader_;
    bool sent_ = false;
    bool closed_ = false;
    int requests_ = 0;

    http_failure to_failure(const boost::system::error_code& code) const;
};

/// A whole exchange on a connection that is open.
task<http_result<http_response>> exchange(http_connection& connection, const http_request& request,
                                          std::size_t max_body, time_point deadline);

} // namespace vanillagauge::net

#endif
