#include "net/http_service.hpp"

#include "net/internal/keep_alive.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>

#include <sys/socket.h>

#include <array>
#include <charconv>
#include <set>
#include <utility>

namespace vanillagauge::net {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::system::error_code;

namespace {

/// After a final answer the client may still send; closing at once would reset the connection and destroy the
/// answer on its way. A client that has read its answer closes well within this time.
constexpr milliseconds linger_time{1000};

/// A request may be on its way over a connection that stands without one; closing at once would cut it.
constexpr milliseconds close_grace{250};

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

class service_connection;

struct http_service::state : std::enable_shared_from_this<http_service::state> {
    state(loop& where, std::function<service_limits()> asked, http_handler called)
        : context(where), acceptor(where), limits(std::move(asked)), handler(std::move(called))
    {
    }

    loop& context;
    asio::ip::tcp::acceptor acceptor;
    std::function<service_limits()> limits;
    http_handler handler;
    bool draining = false;
    std::set<service_connection*> connections;
    std::size_t in_flight = 0;

    void adopt(asio::ip::tcp::socket socket);
    static task<void> accept_all(std::shared_ptr<state> owner);
    void close_acceptor();
    static task<void> end_idle(std::shared_ptr<state> owner);
};

class service_connection : public std::enable_shared_from_this<service_connection> {
public:
    service_connection(asio::ip::tcp::socket socket, std::shared_ptr<http_service::state> owner)
        : stream_(std::move(socket)), owner_(std::move(owner))
    {
        owner_->connections.insert(this);
    }
    ~service_connection() { owner_->connections.erase(this); }
    service_connection(const service_connection&) = delete;
    service_connection& operator=(const service_connection&) = delete;

    /// The task holds the connection: it may start after its maker has let go.
    static task<void> serve(std::shared_ptr<service_connection> connection);
    task<bool> write_text(std::string text);
    void abort();
    /// Ends it where no byte of a request has come.
    void end_if_idle();
    /// Answers in place of the handler.
    void give_up(const http_response& answer);
    /// False: the service has answered in the handler's place.
    bool begin_answer();
    std::string whole_text(const http_response& response);
    /// The fields that end a head, for this answer.
    std::string connection_fields();

    bool gone() const { return gone_; }
    void on_gone(std::function<void()> callback);

private:
    enum class stage {
        idle, ///< no byte of a request has come
        reading,
        handling,
        answering, ///< the handler's answer has begun
        given_up,  ///< the service has answered in the handler's place
    };

    beast::tcp_stream stream_;
    std::shared_ptr<http_service::state> owner_;
    beast::flat_buffer buffer_;
    std::function<void()> on_gone_;
    std::uint64_t watched_ = 0; ///< the request whose client is watched; each request has a new number
    stage stage_ = stage::reading;
    bool ended_idle_ = false; ///< by this side, without a request
    bool keep_alive_ = true;
    bool aborted_ = false;
    bool gone_ = false;

    using parser = http::request_parser<http::string_body>;
    task<void> serve_requests();
    task<bool> read_request(parser& message, const service_limits& limits);
    task<bool> wait_for_request(const service_limits& limits);
    task<void> refuse(const error_code& why, bool in_body);
    task<void> handle(const http_request& request);
    task<void> linger();
    task<void> part();
    bool in_request() const { return stage_ == stage::handling || stage_ == stage::answering; }
    void tell_gone();
    void watch_client();
};

namespace {

http_request to_request(http::request_parser<http::string_body>& parser)
{
    auto& message = parser.get();
    http_request request;
    request.method = std::string(message.method_string());
    request.target = std::string(message.target());
    for (const auto& field : message) {
        const auto field_name = field.name_string();
        const auto value = field.value();
        request.fields.add({field_name.data(), field_name.size()}, {value.data(), value.size()});
    }
    request.body = std::move(message.body());
    return request;
}

int refusal_status(const error_code& why, bool in_body)
{
    if (why == http::error::header_limit) {
        return 431;
    }
    if (why == http::error::body_limit) {
        return 413;
    }
    return in_body || why != http::error::end_of_stream ? 400 : 0;
}

bool peer_ended(const error_code& why)
{
    return why == http::error::end_of_stream || why == http::error::partial_message ||
           why == asio::error::connection_reset || why == asio::error::eof ||
           why == asio::error::operation_aborted || why == beast::error::timeout; // which closes the stream
}

} // namespace

task<bool> service_connection::wait_for_request(const service_limits& limits)
{
    if (buffer_.size() > 0) {
        co_return true;
    }
    stream_.expires_after(limits.idle_time);
    error_code failure;
    stage_ = stage::idle;
    const auto size = co_await stream_.async_read_some(buffer_.prepare(4096),
                                                       asio::redirect_error(asio::use_awaitable, failure));
    stage_ = stage::reading;
    ended_idle_ = ended_idle_ && size == 0;
    buffer_.commit(size);
    co_return !failure && size > 0;
}

task<void> service_connection::refuse(const error_code& why, bool in_body)
{
    keep_alive_ = false;
    const auto status = refusal_status(why, in_body);
    if (status == 0 || peer_ended(why)) {
        co_return;
    }
    co_await write_text(status_line(status) + "Content-Length: 0\r\n" + connection_fields());
    co_await linger();
}

task<bool> service_connection::read_request(parser& message, const service_limits& limits)
{
    message.header_limit(static_cast<std::uint32_t>(limits.header_bytes));
    message.body_limit(limits.body_bytes);
    stream_.expires_after(limits.header_time);
    error_code failure;
    co_await http::async_read_header(stream_, buffer_, message,
                                     asio::redirect_error(asio::use_awaitable, failure));
    if (failure) {
        co_await refuse(failure, false);
        co_return false;
    }
    if (message.get()[http::field::expect] == "100-continue") {
        co_await write_text("HTTP/1.1 100 Continue\r\n\r\n");
    }
    stream_.expires_after(limits.body_time);
    co_await http::async_read(stream_, buffer_, message, asio::redirect_error(asio::use_awaitable, failure));
    if (failure) {
        co_await refuse(failure, true);
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
    internal::prepare(stream_.socket());
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
        const auto request = to_request(message);
        co_await handle(request);
    }
    if (ended_idle_) {
        co_await part();
    }
    else if (!aborted_) {
        co_await linger();
    }
}

task<void> service_connection::handle(const http_request& request)
{
    ++owner_->in_flight;
    stage_ = stage::handling;
    ++watched_;
    watch_client();
    responder answer(*this);
    co_await owner_->handler(request, answer);
    if (!answer.answered()) {
        abort();
    }
    stage_ = stage::reading;
    on_gone_ = nullptr;
    --owner_->in_flight;
}

// Without this a client that leaves is noticed only when its answer is written, and the target works for
// nobody. A byte that arrives instead is the client's next request; then the watch ends.
void service_connection::watch_client()
{
    stream_.socket().async_wait(asio::ip::tcp::socket::wait_read,
                                [self = shared_from_this(), request = watched_](const error_code& failure) {
                                    if (failure || !self->in_request() || request != self->watched_) {
                                        return;
                                    }
                                    char byte = 0;
                                    const auto seen = ::recv(self->stream_.socket().native_handle(), &byte, 1,
                                                             MSG_PEEK | MSG_DONTWAIT);
                                    if (seen < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) {
                                        self->watch_client();
                                        return;
                                    }
                                    if (seen <= 0) {
                                        self->tell_gone();
                                    }
                                });
}

void service_connection::tell_gone()
{
    gone_ = true;
    if (const auto tell = std::exchange(on_gone_, nullptr)) {
        tell();
    }
}

void service_connection::on_gone(std::function<void()> callback)
{
    if (gone_) {
        callback();
        return;
    }
    on_gone_ = std::move(callback);
}

task<bool> service_connection::write_text(std::string text)
{
    if (aborted_ || gone_) {
        co_return false;
    }
    stream_.expires_after(owner_->limits().write_time);
    error_code failure;
    co_await asio::async_write(stream_, asio::buffer(text),
                               asio::redirect_error(asio::use_awaitable, failure));
    if (failure) {
        abort();
    }
    co_return !failure;
}

std::string service_connection::connection_fields()
{
    if (owner_->draining) {
        keep_alive_ = false;
    }
    return keep_alive_ ? "\r\n" : "Connection: close\r\n\r\n";
}

void service_connection::abort()
{
    if (stage_ == stage::given_up) {
        return;
    }
    aborted_ = true;
    keep_alive_ = false;
    error_code ignored;
    stream_.socket().set_option(asio::socket_base::linger(true, 0), ignored);
    stream_.close();
}

bool service_connection::begin_answer()
{
    if (stage_ == stage::given_up) {
        return false;
    }
    stage_ = stage::answering;
    return true;
}

std::string service_connection::whole_text(const http_response& response)
{
    auto text = head_text(response.status, response.fields);
    text += "Content-Length: " + std::to_string(response.body.size()) + "\r\n";
    text += connection_fields();
    text += response.body;
    return text;
}

void service_connection::end_if_idle()
{
    if (stage_ != stage::idle) {
        return;
    }
    ended_idle_ = true;
    keep_alive_ = false;
    error_code ignored;
    stream_.socket().cancel(ignored);
}

// The handler learns of it as of a client that left, so that it lets go of its replica. An answer that has
// begun goes on; where it is not whole when the process ends, it does not look whole.
void service_connection::give_up(const http_response& answer)
{
    end_if_idle();
    if (stage_ != stage::handling) {
        return;
    }
    keep_alive_ = false;
    const auto text = whole_text(answer);
    error_code failure;
    stream_.socket().non_blocking(true, failure);
    const auto written = stream_.socket().write_some(asio::buffer(text), failure);
    if (failure || written < text.size()) {
        abort();
    }
    stage_ = stage::given_up;
    tell_gone();
}

// What comes now is left unread: the end of the connection then tells the client that its request has not
// run, while a request that was read and thrown away could have.
task<void> service_connection::part()
{
    error_code failure;
    stream_.socket().shutdown(asio::ip::tcp::socket::shutdown_send, failure);
    asio::steady_timer over(owner_->context, linger_time);
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
    error_code failure;
    stream_.socket().shutdown(asio::ip::tcp::socket::shutdown_send, failure);
    stream_.expires_after(linger_time);
    std::array<char, 1024> waste{};
    while (!failure) {
        co_await stream_.async_read_some(asio::buffer(waste),
                                         asio::redirect_error(asio::use_awaitable, failure));
    }
    stream_.close();
}

task<bool> responder::send(http_response response)
{
    answered_ = true;
    if (!connection_.begin_answer()) {
        co_return false;
    }
    co_return co_await connection_.write_text(connection_.whole_text(response));
}

task<bool> responder::begin(int status, http_fields fields)
{
    begun_ = true;
    if (!connection_.begin_answer()) {
        co_return false;
    }
    auto text =
        head_text(status, fields) + "Transfer-Encoding: chunked\r\n" + connection_.connection_fields();
    co_return co_await connection_.write_text(std::move(text));
}

task<bool> responder::write(std::string piece)
{
    if (piece.empty()) {
        co_return !connection_.gone();
    }
    std::array<char, 16> size{};
    const auto end = std::to_chars(size.data(), size.data() + size.size(), piece.size(), 16).ptr;
    std::string text(size.data(), end);
    text += "\r\n" + piece + "\r\n";
    co_return co_await connection_.write_text(std::move(text));
}

task<bool> responder::finish()
{
    answered_ = true;
    return connection_.write_text("0\r\n\r\n");
}

void responder::abort()
{
    answered_ = true;
    connection_.abort();
}

bool responder::client_gone() const
{
    return connection_.gone();
}

void responder::on_client_gone(std::function<void()> callback)
{
    connection_.on_gone(std::move(callback));
}

http_service::http_service(loop& where, std::function<service_limits()> limits, http_handler handler)
    : state_(std::make_shared<state>(where, std::move(limits), std::move(handler)))
{
}

// The acceptor belongs to the loop's thread; the service may end on another.
http_service::~http_service()
{
    asio::post(state_->context, [held = state_] {
        error_code ignored;
        held->acceptor.close(ignored);
    });
}

result<std::string> http_service::open(const std::string& address)
{
    const auto colon = address.rfind(':');
    error_code failed;
    const auto host = asio::ip::make_address(address.substr(0, colon), failed);
    unsigned short port = 0;
    if (colon != std::string::npos) {
        std::from_chars(address.data() + colon + 1, address.data() + address.size(), port);
    }
    auto& acceptor = state_->acceptor;
    const asio::ip::tcp::endpoint endpoint(host, port);
    if (!failed) {
        acceptor.open(endpoint.protocol(), failed);
    }
    if (!failed) {
        acceptor.set_option(asio::socket_base::reuse_address(true), failed);
    }
    if (!failed) {
        acceptor.bind(endpoint, failed);
    }
    if (!failed) {
        acceptor.listen(asio::socket_base::max_listen_connections, failed);
    }
    if (failed) {
        return error{vanillagauge::error_code::unavailable, run_state::not_run,
                     "expected a free address IP:PORT, found: " + address + ", " + failed.message()};
    }
    start(state_->context, state::accept_all(state_));
    return host.to_string() + ":" + std::to_string(acceptor.local_endpoint().port());
}

void http_service::drain()
{
    state_->draining = true;
}

void http_service::close()
{
    drain();
    state_->close_acceptor();
    start(state_->context, state::end_idle(state_));
}

void http_service::give_up(const http_response& answer)
{
    const auto open = state_->connections;
    for (auto* connection : open) {
        connection->give_up(answer);
    }
}

std::size_t http_service::connections() const
{
    return state_->connections.size();
}

std::size_t http_service::in_flight() const
{
    return state_->in_flight;
}

void http_service::state::adopt(asio::ip::tcp::socket socket)
{
    const auto connection = std::make_shared<service_connection>(std::move(socket), shared_from_this());
    start(context, service_connection::serve(connection));
}

task<void> http_service::state::accept_all(std::shared_ptr<state> owner)
{
    while (owner->acceptor.is_open()) {
        error_code failure;
        auto socket =
            co_await owner->acceptor.async_accept(asio::redirect_error(asio::use_awaitable, failure));
        if (!failure) {
            owner->adopt(std::move(socket));
        }
        else if (owner->acceptor.is_open()) {
            // Out of descriptors, usually; without the pause the loop would spin until one is free.
            co_await sleep_for(owner->context, milliseconds(50));
        }
    }
}

// Closing the listener would reset connections that the kernel has taken, with requests on them.
void http_service::state::close_acceptor()
{
    error_code failure;
    acceptor.non_blocking(true, failure);
    while (!failure) {
        asio::ip::tcp::socket socket(context);
        acceptor.accept(socket, failure);
        if (!failure) {
            adopt(std::move(socket));
        }
    }
    acceptor.close(failure);
}

task<void> http_service::state::end_idle(std::shared_ptr<state> owner)
{
    while (!owner->connections.empty()) {
        co_await sleep_for(owner->context, close_grace);
        for (auto* connection : std::set(owner->connections)) {
            connection->end_if_idle();
        }
    }
}

} // namespace vanillagauge::net
