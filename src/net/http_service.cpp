#include "net/http_service.hpp"

#include "base/address.hpp"
#include "base/listening.hpp"
#include "net/internal/service_connection.hpp"

#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <array>
#include <charconv>
#include <utility>

namespace vanillagauge::net {

namespace asio = boost::asio;
using boost::system::error_code;

namespace {

/// A request may be in transit on an idle connection; closing it at once would lose the request.
constexpr milliseconds close_grace{250};

} // namespace

task<bool> responder::send(http_response response)
{
    answered_ = true;
    if (!connection_.begin_response()) {
        co_return false;
    }
    co_return co_await connection_.write_response(std::move(response));
}

task<bool> responder::begin(int status, http_fields fields)
{
    begun_ = true;
    if (!connection_.begin_response()) {
        co_return false;
    }
    co_return co_await connection_.write_text(connection_.chunked_head(status, fields));
}

task<bool> responder::write(std::string piece)
{
    if (piece.empty()) {
        co_return !connection_.client_disconnected();
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

bool responder::client_disconnected() const
{
    return connection_.client_disconnected();
}

bool responder::take_room(std::size_t bytes)
{
    return connection_.take_answer_room(bytes);
}

void responder::release_body()
{
    connection_.release_body_room();
}

std::uint64_t responder::connection_number() const
{
    return connection_.number();
}

void responder::on_client_disconnect(std::function<void()> callback)
{
    connection_.on_client_disconnect(std::move(callback));
}

http_service::http_service(loop& context, std::function<service_limits()> limits, http_handler handler,
                           escape_observer on_escape, body_admission bodies,
                           std::shared_ptr<connection_account> account)
    : state_(std::make_shared<state>(context, std::move(limits), std::move(handler), std::move(on_escape),
                                     std::move(bodies), std::move(account)))
{
}

// The acceptor is used on the loop's thread only; the destructor may run on another.
http_service::~http_service()
{
    asio::post(state_->context, [held = state_] {
        error_code ignored;
        held->acceptor.close(ignored);
    });
}

result<std::string> http_service::open(const std::string& address, duration patience)
{
    const auto parsed = parse_endpoint(address);
    if (!ok(parsed)) {
        return failure(parsed);
    }
    const auto& [host, port] = value(parsed);
    const asio::ip::tcp::endpoint endpoint(asio::ip::make_address(host), port);
    const auto failed = listen(state_->acceptor, endpoint, patience);
    if (failed) {
        return listening_error(address, failed);
    }
    start(state_->context, state::accept_loop(state_));
    return host + ":" + std::to_string(state_->acceptor.local_endpoint().port());
}

void http_service::drain()
{
    state_->draining = true;
}

void http_service::close()
{
    drain();
    state_->close_acceptor();
    start(state_->context, state::close_idle(state_));
}

void http_service::abort_requests(const http_response& answer)
{
    state_->failure_response = answer;
    const auto open = state_->connections;
    for (auto* connection : open) {
        connection->abort_request(answer);
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

// A connection that is closed unread tells its client that no request of it has run.
void http_service::state::start_connection(asio::ip::tcp::socket socket)
{
    if (account && !account->admit(this)) {
        return;
    }
    const auto connection = std::make_shared<service_connection>(std::move(socket), shared_from_this());
    start(context, service_connection::serve(connection));
}

task<void> http_service::state::accept_loop(std::shared_ptr<state> owner)
{
    while (owner->acceptor.is_open()) {
        error_code failure;
        auto socket =
            co_await owner->acceptor.async_accept(asio::redirect_error(asio::use_awaitable, failure));
        if (!failure) {
            owner->start_connection(std::move(socket));
        }
        else if (owner->acceptor.is_open()) {
            // Usually out of file descriptors; the delay keeps the loop from spinning until one is free.
            if (owner->account) {
                owner->account->free_descriptor();
            }
            co_await sleep_for(owner->context, milliseconds(50));
        }
    }
}

// Closing the acceptor resets the connections in its backlog, so they are accepted first.
void http_service::state::close_acceptor()
{
    error_code failure;
    acceptor.non_blocking(true, failure);
    while (!failure) {
        asio::ip::tcp::socket socket(context);
        acceptor.accept(socket, failure);
        if (!failure) {
            start_connection(std::move(socket));
        }
    }
    acceptor.close(failure);
}

task<void> http_service::state::close_idle(std::shared_ptr<state> owner)
{
    while (!owner->connections.empty()) {
        co_await sleep_for(owner->context, close_grace);
        for (auto* connection : std::set(owner->connections)) {
            connection->close_if_idle();
        }
    }
}

} // namespace vanillagauge::net
