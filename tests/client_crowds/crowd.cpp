#include "crowd.hpp"

#include "base/address.hpp"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace vanillagauge::client_crowds {
namespace {

namespace asio = boost::asio;
using boost::system::error_code;

/// A client that sends nothing for so long meets a process that does not read on.
constexpr seconds stall_time{3};

asio::ip::tcp::endpoint parse(const std::string& address)
{
    const auto parsed = value(parse_endpoint(address));
    return {asio::ip::make_address(parsed.host), parsed.port};
}

} // namespace

crowd::crowd(net::loop& loop, const crowd_kind& kind, const std::string& address)
    : kind_(kind), address_(parse(address))
{
    for (std::size_t number = 0; number < kind.clients; ++number) {
        clients_.push_back(std::make_shared<client>(loop));
        net::start(loop, play(clients_.back(), number));
    }
}

bool crowd::stands() const
{
    const auto now = steady::now();
    return std::all_of(clients_.begin(), clients_.end(),
                       [now](const auto& one) { return one->done || now - one->progressed_at > stall_time; });
}

void crowd::leave()
{
    for (const auto& one : clients_) {
        error_code ignored;
        one->socket.close(ignored);
    }
}

std::size_t crowd::bytes_sent() const
{
    std::size_t all = 0;
    for (const auto& one : clients_) {
        all += one->sent;
    }
    return all;
}

net::task<bool> crowd::send(client& one, const std::string& text)
{
    std::size_t at = 0;
    error_code failure;
    while (at < text.size() && !failure) {
        const auto written =
            co_await one.socket.async_write_some(asio::buffer(text.data() + at, text.size() - at),
                                                 asio::redirect_error(asio::use_awaitable, failure));
        at += written;
        one.sent += written;
        one.progressed_at = steady::now();
    }
    co_return !failure;
}

net::task<void> crowd::play(std::shared_ptr<client> one, std::size_t number)
{
    error_code failure;
    co_await one->socket.async_connect(address_, asio::redirect_error(asio::use_awaitable, failure));
    one->progressed_at = steady::now();
    bool open = !failure && co_await send(*one, kind_.opening(number));
    std::size_t sent = 0;
    while (open && sent < kind_.piece_bytes_in_all) {
        open = co_await send(*one, kind_.piece);
        sent += kind_.piece.size();
    }
    if (kind_.closes) {
        one->socket.close(failure);
    }
    one->done = true;
}

} // namespace vanillagauge::client_crowds
