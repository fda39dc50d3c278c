#include "net/internal/service_connection.hpp"

#include "net/internal/socket_options.hpp"
#include "observe/last_inputs.hpp"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/read.hpp>

#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <cstdint>
#include <exception>
#include <limits>
#include <new>
#include <optional>
#include <string>
#include <utility>

namespace vanillagauge::net {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::system::error_code;

namespace {

/// The most that one read adds to a body.
constexpr std::size_t read_bytes = 64U << 10U;

/// The first read of a request, which holds most heads as a whole.
constexpr std::size_t first_read_bytes = 4096;

/// A head is held by the parser, in its fields, and in the request that is passed on.
constexpr std::size_t head_copies = 4;

/// Responses up to this size need no room: the number of connections bounds them.
constexpr std::size_t small_response_bytes = 4096;

/// Bounds what the system holds for a reader that stalls; unbounded, it grows to some megabytes a connection.
/// The system doubles the value for its own overhead.
constexpr int send_buffer_bytes = 128 << 10;

/// Bounds what has arrived and is not read, which counts with the process's memory; unbounded, it grows to
/// megabytes a connection once its client has sent as much.
constexpr int receive_buffer_bytes = 64 << 10;

std::string status_line(int status)
{
    const auto reason = http::obsolete_reason(static_cast<http::status>(status));
    return "HTTP/1.1 " + std::to_string(status) + " " + std::string(reason.data(), reason.size()) + "\r\n";
}

std::string head_text(int status, const http_fields& fields)
{
    auto text = status_line(status);
    for (const auto& field : fields.all()) {
        text += field.name + ": " + field.value + "\r\n";
    }
    return text;
}

} // namespace

namespace {

/// The request without its body.
http_request to_head(const http::request_parser<http::string_body>& parser)
{
    const auto& message = parser.get();
    http_request request;
    request.method = std::string(message.method_string());
    request.target = std::string(message.target());
    observe::note_input(request.method, request.target);
    for (const auto& field : message) {
        const auto field_name = field.name_string();
        const auto value = field.value();
        request.fields.add({field_name.data(), field_name.size()}, {value.data(), value.size()});
    }
    return request;
}

/// The room that a body in chunks needs to be read on: twice that of before, once the body has outgrown it by
/// some of the last read.
std::size_t next_room(std::size_t body_bytes, std::size_t room, std::size_t max_bytes)
{
    if (room > 0 && body_bytes <= room) {
        return room;
    }
    return std::min(std::max(small_body_bytes, 2 * room), max_bytes);
}

/// The parser counts in 32 bits.
std::uint32_t header_limit_of(const service_limits& limits)
{
    constexpr std::size_t most = std::numeric_limits<std::uint32_t>::max();
    return static_cast<std::uint32_t>(std::min(limits.header_bytes, most));
}

/// The most that is buffered. The parser takes in a head, a chunk's header and the trailers only as a whole.
std::size_t buffer_limit_of(const service_limits& limits)
{
    return std::size_t{header_limit_of(limits)} + first_read_bytes;
}

/// The bytes of a parsed head.
std::size_t head_bytes(const http::request_parser<http::string_body>& parser)
{
    const auto& message = parser.get();
    std::size_t all = message.target().size();
    for (const auto& field : message) {
        all += field.name_string().size() + field.value().size();
    }
    return all;
}

int error_status(const error_code& why, bool in_body)
{
    if (why == http::error::header_limit || why == http::error::buffer_overflow) {
        return 431;
    }
    if (why == http::error::body_limit) {
        return 413;
    }
    return in_body || why != http::error::end_of_stream ? 400 : 0;
}

bool is_disconnect(const error_code& why)
{
    return why == http::error::end_of_stream || why == http::error::partial_message ||
           why == asio::error::connection_reset || why == asio::error::eof ||
           why == asio::error::operation_aborted || why == beast::error::timeout; // which closes the stream
}

} // namespace

task<bool> service_connection::wait_for_request(const service_limits& limits)
{
    entry_.wait_for_client(steady::now());
    if (buffer_.size() > 0) {
        co_return true;
    }
    if (buffer_.capacity() > first_read_bytes) {
        buffer_.shrink_to_fit();
    }
    stream_.expires_after(limits.idle_time);
    error_code failure;
    stage_ = stage::idle;
    const auto size = co_await stream_.async_read_some(buffer_.prepare(first_read_bytes),
                                                       asio::redirect_error(asio::use_awaitable, failure));
    stage_ = stage::reading;
    entry_.wait_for_client(steady::now());
    closed_idle_ = closed_idle_ && size == 0;
    buffer_.commit(size);
    co_return !failure && size > 0;
}

task<void> service_connection::reject(const error_code& why, bool in_body)
{
    keep_alive_ = false;
    const auto status = error_status(why, in_body);
    if (status == 0 || is_disconnect(why)) {
        co_return;
    }
    stage_ = stage::responding;
    co_await write_text(status_line(status) + "Content-Length: 0\r\n" + connection_fields());
}

// The client may be sending the body still: reading on, and dropping what comes, lets it see the refusal.
task<void> service_connection::refuse_body(parser& message, std::size_t bytes, const service_limits& limits)
{
    keep_alive_ = false;
    stage_ = stage::responding;
    std::string().swap(message.get().body());
    body_room_.release();
    http_response refused;
    refused.status = static_cast<int>(http::status::service_unavailable);
    if (owner_->bodies.refuse) {
        const auto wait = owner_->bodies.budget->expected_wait(bytes);
        refused = owner_->bodies.refuse(to_head(message), bytes, wait);
    }
    co_await write_response(std::move(refused));
    unread_.time = limits.body_time;
    unread_.bytes += limits.body_bytes;
}

task<error_code> service_connection::read_head(parser& message, const service_limits& limits)
{
    error_code failure;
    buffer_.consume(message.put(buffer_.data(), failure));
    if (failure != http::error::need_more) {
        co_return failure;
    }
    if (!hold(head_room_, buffer_limit_of(limits), owner_->account.get())) {
        give_up();
        co_return asio::error::operation_aborted;
    }
    failure = {};
    co_await http::async_read_header(stream_, buffer_, message,
                                     asio::redirect_error(asio::use_awaitable, failure));
    co_return failure;
}

task<bool> service_connection::read_request(parser& message, const service_limits& limits)
{
    message.header_limit(header_limit_of(limits));
    message.body_limit(limits.body_bytes);
    buffer_.max_size(std::max(buffer_.size(), buffer_limit_of(limits)));
    stream_.expires_after(limits.header_time);
    const auto failure = co_await read_head(message, limits);
    if (failure) {
        co_await reject(failure, false);
        co_return false;
    }
    head_room_.release();
    const auto length = static_cast<std::size_t>(message.content_length().value_or(0));
    auto* account = owner_->account.get();
    if (!hold(head_room_, head_copies * head_bytes(message), account) || !hold(body_room_, length, account)) {
        co_await refuse_body(message, length, limits);
        co_return false;
    }
    if (message.get()[http::field::expect] == "100-continue") {
        co_await write_text("HTTP/1.1 100 Continue\r\n\r\n");
    }
    co_return co_await read_body(message, limits);
}

// A string that grows holds its old bytes beside their copies; with the capacity that is reserved here, both
// fit into the room that was taken.
task<bool> service_connection::read_body(parser& message, const service_limits& limits)
{
    stream_.expires_after(limits.body_time);
    std::size_t extension_bytes = 0;
    auto count_extensions = [&](std::uint64_t, beast::string_view extensions, error_code& refused) {
        extension_bytes += extensions.size();
        if (extension_bytes > limits.header_bytes) {
            refused = http::error::header_limit;
        }
    };
    message.on_chunk_header(count_extensions);
    buffer_.max_size(std::max(buffer_.size(), first_read_bytes));
    error_code failure;
    while (!message.is_done() && !failure) {
        entry_.wait_for_client(steady::now());
        auto& body = message.get().body();
        const auto next =
            message.chunked() ? next_room(body.size(), body_room_.bytes(), limits.body_bytes) : 0;
        if (!hold(body_room_, next, owner_->account.get())) {
            co_await refuse_body(message, next, limits);
            co_return false;
        }
        if (next > small_body_bytes) {
            body.reserve(next + read_bytes);
        }
        co_await http::async_read_some(stream_, buffer_, message,
                                       asio::redirect_error(asio::use_awaitable, failure));
        const auto longest = buffer_limit_of(limits);
        if (failure == http::error::buffer_overflow && buffer_.max_size() < longest) {
            // a chunk's header, or trailers, that are longer than the buffer
            if (!hold(head_room_, head_room_.bytes() + longest, owner_->account.get())) {
                co_await refuse_body(message, longest, limits);
                co_return false;
            }
            buffer_.max_size(longest);
            failure = {};
        }
    }
    if (failure) {
        co_await reject(failure, true);
        co_return false;
    }
    co_return true;
}

task<void> service_connection::serve(std::shared_ptr<service_connection> connection)
{
    co_await connection->serve_requests();
}

task<void> service_connection::serve_requests()
{
    internal::set_no_delay(stream_.socket());
    internal::fail_when_silent(stream_.socket());
    error_code ignored;
    stream_.socket().set_option(asio::socket_base::send_buffer_size(send_buffer_bytes), ignored);
    stream_.socket().set_option(asio::socket_base::receive_buffer_size(receive_buffer_bytes), ignored);
    while (keep_alive_ && !aborted_) {
        const auto limits = owner_->limits();
        if (!co_await wait_for_request(limits)) {
            break;
        }
        parser message;
        if (!co_await read_request(message, limits)) {
            break;
        }
        keep_alive_ = message.keep_alive();
        auto request = to_head(message);
        request.body = std::move(message.get().body());
        co_await handle(request);
        release_rooms();
    }
    release_rooms();
    if (closed_idle_) {
        co_await close_unread();
    }
    else if (!aborted_) {
        co_await linger();
    }
}

task<void> service_connection::handle(http_request& request)
{
    ++owner_->in_flight;
    stage_ = stage::handling;
    entry_.serve();
    ++watched_request_;
    watch_client();
    if (owner_->failure_response) {
        co_await write_response(*owner_->failure_response);
    }
    else {
        responder answer(*this);
        co_await run_handler(request, answer);
        if (!answer.answered()) {
            abort();
        }
    }
    stage_ = stage::reading;
    on_disconnect_ = nullptr;
    --owner_->in_flight;
}

// Guards against a request that ends the process and all other requests with it. Memory that has run out is
// not one request's failure: the process ends and is started again.
task<void> service_connection::run_handler(http_request& request, responder& answer)
{
    std::optional<std::string> escaped;
    try {
        co_await owner_->handler(request, answer);
    }
    catch (const std::bad_alloc&) {
        throw;
    }
    catch (const std::exception& why) {
        escaped = why.what();
    }
    if (!escaped) {
        co_return;
    }
    on_disconnect_ = nullptr; // refers to the handler's frame, which is gone
    if (owner_->on_escape) {
        owner_->on_escape(request, *escaped);
    }
    if (answer.begun() || answer.answered()) {
        abort();
        co_return;
    }
    http_response failed;
    failed.status = 500;
    co_await answer.send(std::move(failed));
}

// Detects a disconnect while the handler runs, so that the target does not work on for nobody. Bytes that
// arrive belong to the next request and end the watch.
void service_connection::watch_client()
{
    stream_.socket().async_wait(
        asio::ip::tcp::socket::wait_read,
        [self = shared_from_this(), request = watched_request_](const error_code& failure) {
            if (failure || !self->in_request() || request != self->watched_request_) {
                return;
            }
            char byte = 0;
            const auto seen =
                ::recv(self->stream_.socket().native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
            if (seen < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) {
                self->watch_client();
                return;
            }
            if (seen <= 0) {
                self->notify_disconnect();
            }
        });
}

void service_connection::notify_disconnect()
{
    client_disconnected_ = true;
    if (const auto tell = std::exchange(on_disconnect_, nullptr)) {
        tell();
    }
}

void service_connection::on_client_disconnect(std::function<void()> callback)
{
    if (client_disconnected_) {
        callback();
        return;
    }
    on_disconnect_ = std::move(callback);
}

task<bool> service_connection::write_text(std::string text)
{
    co_return co_await write_all(text, {});
}

task<bool> service_connection::write_response(http_response response)
{
    const auto head = response_head(response);
    co_return co_await write_all(head, response.body);
}

// Two buffers in one call: a body that was joined to its head would be held twice.
task<bool> service_connection::write_all(std::string_view head, std::string_view body)
{
    if (aborted_ || client_disconnected_) {
        co_return false;
    }
    if (!take_answer_room(head.size() + body.size())) {
        abort();
        co_return false;
    }
    entry_.wait_for_client(steady::now());
    stream_.expires_after(owner_->limits().write_time);
    const std::array<asio::const_buffer, 2> parts{asio::buffer(head), asio::buffer(body)};
    error_code failure;
    co_await asio::async_write(stream_, parts, asio::redirect_error(asio::use_awaitable, failure));
    entry_.serve();
    if (failure) {
        abort();
    }
    co_return !failure;
}

bool service_connection::take_answer_room(std::size_t bytes)
{
    return bytes <= small_response_bytes || hold(answer_room_, bytes, owner_->account.get());
}

void service_connection::release_rooms()
{
    head_room_.release();
    body_room_.release();
    answer_room_.release();
}

connection_actions service_connection::actions()
{
    return {[this] { give_up(); },
            [this](const byte_budget& budget) {
                const auto rooms = {&head_room_, &body_room_, &answer_room_};
                return std::any_of(rooms.begin(), rooms.end(), [&budget](const byte_reservation* room) {
                    return room->bytes() > 0 && room->budget()->counts_in(budget);
                });
            }};
}

// A client that has sent part of a request is told that it will not run; if that does not fit into the
// system's buffer, the end of the connection says as much.
void service_connection::give_up()
{
    release_rooms();
    if (in_request()) {
        abort();
        return;
    }
    if (stage_ == stage::reading) {
        const auto text = status_line(static_cast<int>(http::status::request_timeout)) +
                          "Content-Length: 0\r\nConnection: close\r\n\r\n";
        error_code ignored;
        stream_.socket().non_blocking(true, ignored);
        stream_.socket().write_some(asio::buffer(text), ignored);
    }
    aborted_ = true;
    keep_alive_ = false;
    stream_.close();
}

std::string service_connection::connection_fields()
{
    // A pipelined request that is already buffered is served too.
    if (owner_->draining && buffer_.size() == 0) {
        keep_alive_ = false;
    }
    return keep_alive_ ? "\r\n" : "Connection: close\r\n\r\n";
}

void service_connection::abort()
{
    if (stage_ == stage::aborted) {
        return;
    }
    aborted_ = true;
    keep_alive_ = false;
    error_code ignored;
    stream_.socket().set_option(asio::socket_base::linger(true, 0), ignored);
    stream_.close();
}

bool service_connection::begin_response()
{
    if (stage_ == stage::aborted) {
        return false;
    }
    stage_ = stage::responding;
    return true;
}

std::string service_connection::chunked_head(int status, const http_fields& fields)
{
    return head_text(status, fields) + "Transfer-Encoding: chunked\r\n" + connection_fields();
}

std::string service_connection::response_head(const http_response& response)
{
    auto text = head_text(response.status, response.fields);
    text += "Content-Length: " + std::to_string(response.body.size()) + "\r\n";
    text += connection_fields();
    return text;
}

void service_connection::close_if_idle()
{
    if (stage_ != stage::idle) {
        return;
    }
    closed_idle_ = true;
    keep_alive_ = false;
    error_code ignored;
    stream_.socket().cancel(ignored);
}

// The handler is notified as of a disconnect, so that it releases its replica. A started response continues;
// if the process exits first, the client can tell that the response is incomplete.
void service_connection::abort_request(const http_response& answer)
{
    close_if_idle();
    if (stage_ != stage::handling) {
        return;
    }
    keep_alive_ = false;
    const auto text = response_head(answer) + answer.body;
    error_code failure;
    stream_.socket().non_blocking(true, failure);
    const auto written = stream_.socket().write_some(asio::buffer(text), failure);
    if (failure || written < text.size()) {
        abort();
    }
    stage_ = stage::aborted;
    notify_disconnect();
}

// Leaves further bytes unread: the end of the connection then tells the client that its request has not run,
// while a request that was read and dropped might have.
task<void> service_connection::close_unread()
{
    entry_.wait_for_close();
    error_code failure;
    stream_.socket().shutdown(asio::ip::tcp::socket::shutdown_send, failure);
    asio::steady_timer over(owner_->context, unread_.time);
    over.async_wait([self = shared_from_this()](const error_code& cancelled) {
        if (!cancelled) {
            error_code ignored;
            self->stream_.socket().cancel(ignored);
        }
    });
    co_await stream_.socket().async_wait(asio::ip::tcp::socket::wait_read,
                                         asio::redirect_error(asio::use_awaitable, failure));
    stream_.close();
}

task<void> service_connection::linger()
{
    entry_.wait_for_close();
    buffer_.clear();
    buffer_.shrink_to_fit();
    error_code failure;
    stream_.socket().shutdown(asio::ip::tcp::socket::shutdown_send, failure);
    stream_.expires_after(unread_.time);
    std::array<char, 4096> waste{};
    std::size_t dropped = 0;
    while (!failure && dropped < unread_.bytes) {
        dropped += co_await stream_.async_read_some(asio::buffer(waste),
                                                    asio::redirect_error(asio::use_awaitable, failure));
    }
    stream_.close();
}

} // namespace vanillagauge::net
