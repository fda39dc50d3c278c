#include "wire/internal/http_connection.hpp"

#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http.hpp>

namespace vanillagauge::wire::internal {
namespace {

namespace http = boost::beast::http;
using boost::system::error_code;
using tcp = boost::asio::ip::tcp;
using http::status;

constexpr std::size_t max_timeout_digits = 9;

/// The most that one read adds to what has not been parsed yet.
constexpr std::size_t read_block = 64U << 10U;

std::string to_text(boost::beast::string_view text)
{
    return {text.data(), text.size()};
}

unsigned number(status code)
{
    return static_cast<unsigned>(code);
}

error not_run_error(vanillagauge::error_code code, std::string detail)
{
    return {code, run_state::not_run, std::move(detail)};
}

result<milliseconds> parse_timeout(const std::string& text)
{
    if (text.empty()) {
        return milliseconds{0};
    }
    if (text.size() > max_timeout_digits || text.find_first_not_of("0123456789") != std::string::npos) {
        return not_run_error(vanillagauge::error_code::invalid_argument,
                             "expected X-Timeout-Ms as whole milliseconds below 1000000000, found \"" +
                                 text.substr(0, 2 * max_timeout_digits) + "\"");
    }
    return milliseconds{std::stol(text)};
}

error body_too_large(const http_limits& limits)
{
    return not_run_error(vanillagauge::error_code::too_large,
                         "expected a body of at most " + std::to_string(limits.body_bytes) + " bytes");
}

} // namespace

http_connection::http_connection(socket peer, const server_context& context)
    : live_(context.live), socket_(std::move(peer)), read_timer_(socket_.get_executor()),
      write_timer_(socket_.get_executor()), context_(context),
      buffer_(context.limits.header_bytes + read_block)
{
}

void http_connection::start(std::function<void()> on_end)
{
    boost::asio::post(socket_.get_executor(),
                      [self = shared_from_this(), on_end = std::move(on_end)]() mutable {
                          self->on_end_ = std::move(on_end);
                          self->await_request();
                      });
}

void http_connection::drain()
{
    boost::asio::post(socket_.get_executor(), [self = shared_from_this()] {
        self->draining_ = true;
        // A response head already sent has told the client whether the connection stays open.
        const bool head_sent = self->stream_started_ || self->reply_complete_;
        self->reply_options_.keep_alive = self->reply_options_.keep_alive && head_sent;
        if (self->stage_ == stage::idle) {
            // A request may be in transit on this connection; closing it at once would lose the request.
            self->arm_read_timer(self->context_.limits.drain_grace);
        }
    });
}

void http_connection::reject_connection(const error& failure, std::function<void()> on_end)
{
    boost::asio::post(socket_.get_executor(),
                      [self = shared_from_this(), failure, on_end = std::move(on_end)]() mutable {
                          self->on_end_ = std::move(on_end);
                          self->reject_request(failure, 0);
                      });
}

/// On expiry, sets `read_timed_out_` and cancels the pending read.
void http_connection::arm_read_timer(milliseconds time)
{
    read_timed_out_ = false;
    read_timer_.expires_after(time);
    read_timer_.async_wait([self = shared_from_this()](const error_code& cancelled) {
        const bool reading =
            self->stage_ == stage::idle || self->stage_ == stage::head || self->stage_ == stage::body;
        // The timer may have been restarted while its old completion was queued.
        const bool over = self->read_timer_.expiry() <= std::chrono::steady_clock::now();
        if (cancelled || !reading || !over) {
            return;
        }
        self->read_timed_out_ = true;
        error_code ignored;
        self->socket_.cancel(ignored);
    });
}

void http_connection::await_request()
{
    stage_ = stage::idle;
    reply_options_ = {};
    reply_options_.keep_alive = !draining_;
    stream_started_ = false;
    reply_complete_ = false;
    if (buffer_.size() > 0) {
        read_head();
        return;
    }
    arm_read_timer(draining_ ? context_.limits.drain_grace : context_.limits.idle_time);
    socket_.async_wait(tcp::socket::wait_read, [self = shared_from_this()](const error_code& failed) {
        if (failed) {
            self->end();
            return;
        }
        self->read_head();
    });
}

void http_connection::read_head()
{
    stage_ = stage::head;
    parser_.emplace();
    parser_->header_limit(static_cast<std::uint32_t>(context_.limits.header_bytes));
    parser_->body_limit(context_.limits.body_bytes);
    arm_read_timer(context_.limits.header_time);
    http::async_read_header(
        socket_, buffer_, *parser_,
        [self = shared_from_this()](const error_code& failed, std::size_t) { self->on_head(failed); });
}

void http_connection::on_head(error_code failed)
{
    using code = vanillagauge::error_code;
    if (read_timed_out_) {
        reject_request(not_run_error(code::deadline_exceeded,
                                     "expected the headers within " +
                                         std::to_string(context_.limits.header_time.count()) + " ms"),
                       number(status::request_timeout));
        return;
    }
    if (failed == http::error::header_limit) {
        reject_request(not_run_error(code::too_large, "expected headers of at most " +
                                                          std::to_string(context_.limits.header_bytes) +
                                                          " bytes"),
                       number(status::request_header_fields_too_large));
        return;
    }
    if (failed == http::error::body_limit) {
        reject_request(body_too_large(context_.limits), 0);
        return;
    }
    if (failed && failed.category() == http::make_error_code(http::error::bad_method).category() &&
        failed != http::error::end_of_stream) {
        reject_request(
            not_run_error(code::invalid_argument, "expected an HTTP/1.1 request, found: " + failed.message()),
            0);
        return;
    }
    if (failed) {
        end();
        return;
    }
    const auto& request = parser_->get();
    reply_options_.version = request.version();
    reply_options_.keep_alive = request.keep_alive() && !draining_;
    const auto encoding = parse_content_type(to_text(request[http::field::content_type]));
    reply_options_.encoding = ok(encoding) ? value(encoding) : codec::json;
    unsigned as_status = 0;
    if (const auto wrong = check_head(as_status)) {
        reject_request(*wrong, as_status);
        return;
    }
    if (request[http::field::expect] == "100-continue" && !parser_->is_done()) {
        queue("HTTP/1.1 100 Continue\r\n\r\n");
    }
    read_body();
}

/// Validates the head before the body is read.
std::optional<error> http_connection::check_head(unsigned& as_status)
{
    using code = vanillagauge::error_code;
    const auto& request = parser_->get();
    if (request.method() == http::verb::get) {
        return std::nullopt;
    }
    if (request.method() != http::verb::post) {
        as_status = number(status::method_not_allowed);
        return not_run_error(code::invalid_argument,
                             "expected GET or POST, found " + to_text(request.method_string()).substr(0, 32));
    }
    const auto encoding = parse_content_type(to_text(request[http::field::content_type]));
    if (!ok(encoding)) {
        as_status = number(status::unsupported_media_type);
        return failure(encoding);
    }
    const auto timeout = parse_timeout(to_text(request["X-Timeout-Ms"]));
    if (!ok(timeout)) {
        return failure(timeout);
    }
    const auto length = parser_->content_length();
    if (length && *length > context_.limits.body_bytes) {
        return not_run_error(code::too_large, "expected a body of at most " +
                                                  std::to_string(context_.limits.body_bytes) +
                                                  " bytes, found " + std::to_string(*length));
    }
    return std::nullopt;
}

void http_connection::read_body()
{
    stage_ = stage::body;
    arm_read_timer(context_.limits.body_time);
    http::async_read(
        socket_, buffer_, *parser_,
        [self = shared_from_this()](const error_code& failed, std::size_t) { self->on_body(failed); });
}

void http_connection::on_body(error_code failed)
{
    using code = vanillagauge::error_code;
    if (read_timed_out_) {
        reject_request(not_run_error(code::deadline_exceeded,
                                     "expected the complete body within " +
                                         std::to_string(context_.limits.body_time.count()) + " ms"),
                       number(status::request_timeout));
        return;
    }
    if (failed == http::error::body_limit) {
        reject_request(body_too_large(context_.limits), 0);
        return;
    }
    if (failed == http::error::buffer_overflow) {
        reject_request(not_run_error(code::too_large, "expected shorter trailers and chunk extensions"),
                       number(status::request_header_fields_too_large));
        return;
    }
    if (failed) {
        reject_request(
            not_run_error(code::incomplete, "expected the complete body, found: " + failed.message()),
            number(status::bad_request));
        return;
    }
    read_timer_.cancel();
    stage_ = stage::call;
    serve();
}

/// Sends the error and closes, because the start of the next request is unknown.
void http_connection::reject_request(const error& failure, unsigned as_status)
{
    stage_ = stage::call;
    reply_options_.keep_alive = false;
    finish_reply(error_reply(reply_options_, failure, as_status));
}

void http_connection::serve()
{
    if (parser_->get().method() == http::verb::get) {
        serve_page();
    }
    else {
        serve_call();
    }
}

void http_connection::serve_page()
{
    const auto target = to_text(parser_->get().target());
    const auto path = target.substr(0, target.find('?'));
    const auto page = context_.pages.find(path);
    if (page == context_.pages.end()) {
        finish_reply(error_reply(reply_options_,
                                 not_run_error(vanillagauge::error_code::not_found, "no page at " + path)));
        return;
    }
    finish_reply(success_reply(reply_options_, "text/plain; version=0.0.4", page->second()));
}

void http_connection::serve_call()
{
    auto& request = parser_->get();
    incoming_call call;
    const auto target = to_text(request.target());
    call.path = target.substr(0, target.find('?'));
    call.authorization = to_text(request[http::field::authorization]);
    call.trace = observe::parse_traceparent(to_text(request["traceparent"]));
    call.traced = true;
    call.timeout = value(parse_timeout(to_text(request["X-Timeout-Ms"])));
    reply_options_.traceparent = observe::traceparent(call.trace);
    const std::string body = std::move(request.body());
    parser_.reset();
    auto sink = context_.calls.is_streaming(call.path) ? streaming_sink() : unary_sink();
    context_.calls.dispatch(std::move(call), reply_options_.encoding, body, std::move(sink));
}

/// Handlers may complete on any thread, also before `dispatch` returns; the connection is used on its strand.
reply_sink http_connection::unary_sink()
{
    reply_sink sink;
    sink.finish = [self = shared_from_this()](result<std::string> outcome) {
        boost::asio::post(self->socket_.get_executor(), [self, outcome = std::move(outcome)] {
            const auto& options = self->reply_options_;
            self->finish_reply(
                ok(outcome) ? success_reply(options, content_type(options.encoding, false), value(outcome))
                            : error_reply(options, failure(outcome)));
        });
    };
    return sink;
}

reply_sink http_connection::streaming_sink()
{
    reply_sink sink;
    sink.chunk = [self = shared_from_this()](std::string encoded) {
        boost::asio::post(self->socket_.get_executor(), [self, encoded = std::move(encoded)] {
            self->add_chunk(frame(self->reply_options_.encoding, encoded));
        });
    };
    sink.finish = [self = shared_from_this()](result<std::string> outcome) {
        boost::asio::post(self->socket_.get_executor(),
                          [self, outcome = std::move(outcome)] { self->finish_stream(outcome); });
    };
    sink.client_disconnected = [self = shared_from_this()] { return self->client_disconnected_.load(); };
    return sink;
}

/// The head is sent with the first chunk, so that an earlier error can still set the status.
void http_connection::add_chunk(const std::string& bytes)
{
    if (!std::exchange(stream_started_, true)) {
        reply_options_.keep_alive = reply_options_.keep_alive && reply_options_.version >= 11;
        queue(stream_head(reply_options_));
    }
    queue(stream_chunk(reply_options_, bytes));
}

void http_connection::finish_stream(const result<std::string>& outcome)
{
    if (!ok(outcome) && !stream_started_) {
        finish_reply(error_reply(reply_options_, failure(outcome)));
        return;
    }
    if (!stream_started_) {
        stream_started_ = true;
        queue(stream_head(reply_options_));
    }
    if (!ok(outcome)) {
        queue(stream_chunk(reply_options_, error_frame(reply_options_.encoding, failure(outcome))));
    }
    finish_reply(stream_end(reply_options_));
}

void http_connection::queue(std::string bytes)
{
    if (!socket_.is_open()) {
        return;
    }
    outgoing_bytes_ += bytes.size();
    if (stream_started_ && outgoing_bytes_ > context_.limits.unsent_bytes) {
        // Bounds the memory for a stalled reader. Without the last chunk the reader cannot take the stream
        // for complete.
        client_disconnected_ = true;
        error_code ignored;
        socket_.close(ignored);
        return;
    }
    outgoing_.push_back(std::move(bytes));
    write_next();
}

void http_connection::finish_reply(std::string bytes)
{
    reply_complete_ = true;
    if (!socket_.is_open()) {
        end();
        return;
    }
    queue(std::move(bytes));
    if (!socket_.is_open()) {
        end();
    }
}

void http_connection::write_next()
{
    if (writing_ || outgoing_.empty()) {
        return;
    }
    writing_ = true;
    write_timer_.expires_after(context_.limits.write_time);
    write_timer_.async_wait([self = shared_from_this()](const error_code& cancelled) {
        const bool over = self->write_timer_.expiry() <= std::chrono::steady_clock::now();
        if (!cancelled && over && self->writing_) {
            error_code ignored;
            self->socket_.close(ignored);
        }
    });
    boost::asio::async_write(
        socket_, boost::asio::buffer(outgoing_.front()),
        [self = shared_from_this()](const error_code& failed, std::size_t) { self->on_written(failed); });
}

void http_connection::on_written(error_code failed)
{
    writing_ = false;
    write_timer_.cancel();
    if (failed) {
        // The client has disconnected or stalled. A running handler's chunks are dropped, and the connection
        // ends when it completes.
        client_disconnected_ = true;
        error_code ignored;
        socket_.close(ignored);
        outgoing_.clear();
        if (reply_complete_) {
            end();
        }
        return;
    }
    outgoing_bytes_ -= outgoing_.front().size();
    outgoing_.pop_front();
    if (!outgoing_.empty()) {
        write_next();
    }
    else if (reply_complete_) {
        on_reply_sent();
    }
}

void http_connection::on_reply_sent()
{
    if (reply_options_.keep_alive) {
        await_request();
        return;
    }
    linger();
}

/// Closing a socket with unread bytes resets the connection, which can destroy the response before the client
/// has read it. So this shuts down the sending side first and discards input for up to `linger_time`.
void http_connection::linger()
{
    error_code failed;
    socket_.shutdown(tcp::socket::shutdown_send, failed);
    if (failed) {
        end();
        return;
    }
    stage_ = stage::head;
    arm_read_timer(context_.limits.linger_time);
    discard();
}

void http_connection::discard()
{
    buffer_.clear();
    constexpr std::size_t block = 16U << 10U;
    socket_.async_read_some(buffer_.prepare(block),
                            [self = shared_from_this()](const error_code& failed, std::size_t) {
                                if (failed || self->read_timed_out_) {
                                    self->end();
                                    return;
                                }
                                self->discard();
                            });
}

void http_connection::end()
{
    if (std::exchange(stage_, stage::ended) == stage::ended && !on_end_) {
        return;
    }
    read_timer_.cancel();
    write_timer_.cancel();
    error_code ignored;
    socket_.close(ignored);
    if (auto handler = std::exchange(on_end_, {})) {
        handler();
    }
}

} // namespace vanillagauge::wire::internal
