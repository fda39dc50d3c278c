#include "net/http_client.hpp"

#include "base/address.hpp"
#include "net/internal/socket_options.hpp"
#include "observe/last_inputs.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/read_size.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>

#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <limits>

namespace vanillagauge::net {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::system::error_code;

namespace {

constexpr std::size_t piece_bytes = 16U << 10U;
constexpr std::uint32_t header_bytes = 64U << 10U;
/// Holds a head, or a chunk's header with its extensions; a longer one is malformed.
constexpr std::size_t buffer_bytes = std::size_t{2} * header_bytes;
/// Received at once while a head is read.
constexpr std::size_t receive_bytes = 64U << 10U;
/// Interim responses (1xx) before the final one.
constexpr int max_interim_responses = 16;

std::string head_text(const http_request& request, std::size_t body_bytes)
{
    std::string text = request.method + " " + request.target + " HTTP/1.1\r\n";
    for (const auto& field : request.fields.all()) {
        text += field.name + ": " + field.value + "\r\n";
    }
    if (body_bytes > 0 || request.method == "POST" || request.method == "PUT") {
        text += "Content-Length: " + std::to_string(body_bytes) + "\r\n";
    }
    text += "\r\n";
    return text;
}

bool is_malformed(const error_code& code)
{
    const error_code any_http = http::error::bad_version;
    return code.category() == any_http.category() && code != http::error::end_of_stream &&
           code != http::error::partial_message;
}

/// Whether a line of the head continues the one before it (RFC 9112, section 5.2).
bool has_folded_line(std::string_view head)
{
    return head.find("\r\n ") != std::string_view::npos || head.find("\r\n\t") != std::string_view::npos;
}

using response_parser = http::response_parser<http::buffer_body>;

response_head head_of(const response_parser& parser)
{
    const auto& message = parser.get();
    response_head head;
    head.status = static_cast<int>(message.result_int());
    for (const auto& field : message) {
        const auto field_name = field.name_string();
        const auto value = field.value();
        head.fields.add({field_name.data(), field_name.size()}, {value.data(), value.size()});
    }
    head.keep_alive = parser.keep_alive();
    return head;
}

} // namespace

struct body_reader {
    response_parser parser;
    std::array<char, piece_bytes> piece{};
};

const char* name(failure_kind kind)
{
    switch (kind) {
    case failure_kind::refused:
        return "refused";
    case failure_kind::timeout:
        return "timeout";
    case failure_kind::closed:
        return "closed";
    case failure_kind::malformed:
        return "malformed";
    case failure_kind::no_room:
        return "no room";
    case failure_kind::cancelled:
        break;
    }
    return "cancelled";
}

http_connection::http_connection(loop& context, silence_limit limit)
    : stream_(context), silence_limit_(limit), buffer_(buffer_bytes)
{
}

http_connection::~http_connection() = default;

http_failure http_connection::to_failure(const error_code& code) const
{
    if (closed_) {
        return {failure_kind::cancelled, sent_, "connection closed locally"};
    }
    if (code == beast::error::timeout) {
        return {failure_kind::timeout, sent_, "deadline exceeded"};
    }
    if (code == asio::error::connection_refused) {
        return {failure_kind::refused, sent_, code.message()};
    }
    return {is_malformed(code) ? failure_kind::malformed : failure_kind::closed, sent_, code.message()};
}

task<http_result<done>> http_connection::connect(std::string address, time_point deadline)
{
    const auto parsed = parse_endpoint(address);
    if (!ok(parsed)) {
        co_return http_failure{failure_kind::refused, false, failure(parsed).detail};
    }
    address_ = std::move(address);
    const asio::ip::tcp::endpoint to(asio::ip::make_address(value(parsed).host), value(parsed).port);
    stream_.expires_at(deadline);
    error_code unconnected;
    co_await stream_.async_connect(to, asio::redirect_error(asio::use_awaitable, unconnected));
    if (unconnected) {
        co_return to_failure(unconnected);
    }
    internal::set_no_delay(stream_.socket());
    if (silence_limit_ == silence_limit::keep_alive) {
        internal::fail_when_silent(stream_.socket());
    }
    co_return done{};
}

task<http_result<done>> http_connection::send(const http_request& request, time_point deadline)
{
    return send(request, request.body, deadline);
}

// Guards against text that came from outside and would be read as another request (request smuggling).
//
// Guards against a request that takes effect after its sender has given it up: bytes that a network partition
// holds up arrive when it heals, unless their connection has been reset by then. The option also covers the
// end of the process.
//
// Linux reports a reset once: reads after the write that took it end as if the peer had closed in order. A
// reset by a peer that had closed in order before is reported as a broken pipe (tcp_reset of its
// tcp_input.c).
task<http_result<done>> http_connection::send(const http_request& head, std::string_view body,
                                              time_point deadline)
{
    if (!is_single_head(head)) {
        co_return http_failure{failure_kind::malformed, false, "the request is not a single one"};
    }
    ++requests_;
    sent_ = true;
    sent_at_ = steady::now();
    reader_.reset();
    internal::reset_on_close(stream_.socket(), true);
    const auto text = head_text(head, body.size());
    const std::array<asio::const_buffer, 2> parts{asio::buffer(text), asio::buffer(body)};
    stream_.expires_at(deadline);
    error_code failure;
    co_await asio::async_write(stream_, parts, asio::redirect_error(asio::use_awaitable, failure));
    lost_while_sending_ = failure && failure != asio::error::broken_pipe;
    if (failure) {
        co_return to_failure(failure);
    }
    co_return done{};
}

// The parser joins a folded line to the field before it, which would be passed on with the bytes of another
// line.
error_code http_connection::parse_head()
{
    error_code failure;
    const auto bytes = buffer_.data();
    const auto parsed = reader_->parser.put(bytes, failure);
    if (has_folded_line({static_cast<const char*>(bytes.data()), parsed})) {
        return http::error::bad_field;
    }
    buffer_.consume(parsed);
    return failure;
}

task<error_code> http_connection::receive()
{
    const auto room = buffer_.prepare(beast::read_size(buffer_, receive_bytes));
    error_code failure;
    const auto received =
        co_await stream_.async_read_some(room, asio::redirect_error(asio::use_awaitable, failure));
    buffer_.commit(received);
    if (failure != asio::error::eof) {
        co_return failure;
    }
    co_return reader_->parser.got_some() ? http::error::partial_message : http::error::end_of_stream;
}

task<error_code> http_connection::read_one_head(time_point deadline)
{
    reader_ = std::make_unique<body_reader>();
    reader_->parser.header_limit(header_bytes);
    reader_->parser.body_limit(std::numeric_limits<std::uint64_t>::max());
    stream_.expires_at(deadline);
    auto failure = parse_head();
    while (failure == http::error::need_more) {
        failure = co_await receive();
        if (!failure) {
            failure = parse_head();
        }
    }
    co_return failure;
}

// An interim response says nothing about the request, and a faulty peer may send them without end.
task<http_result<response_head>> http_connection::read_head(time_point deadline)
{
    for (int interim = 0; interim <= max_interim_responses; ++interim) {
        const auto failure = co_await read_one_head(deadline);
        if (failure == beast::error::timeout && interim == 0 && buffer_.size() == 0 && silence_) {
            silence_->since = std::max(silence_->since, sent_at_);
        }
        if (failure) {
            co_return to_failure(failure);
        }
        auto head = head_of(reader_->parser);
        if (const auto defect = defect_of(head)) {
            close();
            co_return http_failure{failure_kind::malformed, true, name(*defect)};
        }
        if (!is_interim(head)) {
            observe::note_input("response of", address_);
            co_return head;
        }
    }
    co_return http_failure{failure_kind::malformed, true, "too many interim responses"};
}

task<http_result<body_piece>> http_connection::read_piece(time_point deadline)
{
    auto& parser = reader_->parser;
    if (parser.is_done()) {
        internal::reset_on_close(stream_.socket(), false);
        co_return body_piece{{}, true};
    }
    auto& body = parser.get().body();
    body.data = reader_->piece.data();
    body.size = reader_->piece.size();
    stream_.expires_at(deadline);
    error_code failure;
    co_await http::async_read_some(stream_, buffer_, parser,
                                   asio::redirect_error(asio::use_awaitable, failure));
    const auto filled = piece_bytes - body.size;
    if (failure && failure != http::error::need_buffer) {
        co_return to_failure(failure);
    }
    if (parser.is_done() && parser.need_eof() && lost_while_sending_) {
        co_return http_failure{failure_kind::closed, sent_, "connection lost before the end of the response"};
    }
    if (parser.is_done()) {
        internal::reset_on_close(stream_.socket(), false);
    }
    co_return body_piece{std::string(reader_->piece.data(), filled), parser.is_done()};
}

task<http_result<std::string>> http_connection::read_body(std::size_t max_bytes, time_point deadline)
{
    return read_body(max_bytes, deadline, nullptr);
}

// A string that grows holds its old bytes beside their copies, so room is taken for both.
task<http_result<std::string>> http_connection::read_body(std::size_t max_bytes, time_point deadline,
                                                          room_taker take_room)
{
    std::string body;
    while (true) {
        auto read = co_await read_piece(deadline);
        if (auto* failure = std::get_if<http_failure>(&read)) {
            co_return std::move(*failure);
        }
        auto& piece = std::get<body_piece>(read);
        const auto size = body.size() + piece.bytes.size();
        if (size > max_bytes) {
            co_return http_failure{failure_kind::malformed, true, "response body exceeds the size limit"};
        }
        if (size > body.capacity()) {
            const auto grown = std::max(size, std::min(2 * body.capacity(), max_bytes));
            if (take_room && !take_room(body.capacity() + grown)) {
                co_return http_failure{failure_kind::no_room, true, "no memory for the response's body"};
            }
            body.reserve(grown);
        }
        body += piece.bytes;
        if (piece.last) {
            co_return body;
        }
    }
}

void http_connection::close()
{
    closed_ = true;
    stream_.close();
}

// A late or duplicate response may be unread on the connection; the next request would take it for its own
// response.
bool http_connection::reusable()
{
    if (closed_ || !stream_.socket().is_open() || buffer_.size() > 0) {
        return false;
    }
    if (reader_ && (!reader_->parser.is_done() || !reader_->parser.keep_alive())) {
        return false;
    }
    char byte = 0;
    const auto seen = ::recv(stream_.socket().native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return seen < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

task<http_result<http_response>> exchange(http_connection& connection, const http_request& request,
                                          std::size_t max_body, time_point deadline)
{
    const auto sent = co_await connection.send(request, deadline);
    if (const auto* failure = std::get_if<http_failure>(&sent)) {
        co_return *failure;
    }
    auto head = co_await connection.read_head(deadline);
    if (auto* failure = std::get_if<http_failure>(&head)) {
        co_return std::move(*failure);
    }
    auto body = co_await connection.read_body(max_body, deadline);
    if (auto* failure = std::get_if<http_failure>(&body)) {
        co_return std::move(*failure);
    }
    observe::note_input("body of", request.target);
    auto& found = std::get<response_head>(head);
    co_return http_response{found.status, std::move(found.fields), std::move(std::get<std::string>(body))};
}

} // namespace vanillagauge::net
