#include "net/internal/socket_options.hpp"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace vanillagauge::net::internal {
namespace {

// A middlebox may drop a connection's state: both ends keep it open, but no packet passes, and a 20 s watch
// on it would miss every change. Two probes a second apart after one idle second detect this in about three
// seconds, as fast as the fleet detects a lost VM.
constexpr int idle_seconds = 1;
constexpr int interval_seconds = 1;
constexpr int max_probes = 2;
constexpr int user_timeout_ms = 2500;

// Errors are ignored: without an option the socket works, with more latency or slower detection.
void set_option(boost::asio::ip::tcp::socket& socket, int level, int name, int value)
{
    ::setsockopt(socket.native_handle(), level, name, &value, sizeof value);
}

} // namespace

void set_no_delay(boost::asio::ip::tcp::socket& socket)
{
    set_option(socket, IPPROTO_TCP, TCP_NODELAY, 1);
}

void fail_when_silent(boost::asio::ip::tcp::socket& socket)
{
    set_option(socket, SOL_SOCKET, SO_KEEPALIVE, 1);
    set_option(socket, IPPROTO_TCP, TCP_KEEPIDLE, idle_seconds);
    set_option(socket, IPPROTO_TCP, TCP_KEEPINTVL, interval_seconds);
    set_option(socket, IPPROTO_TCP, TCP_KEEPCNT, max_probes);
    set_option(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, user_timeout_ms);
}

// Not by the socket's own set_option: its destructor would take the option back.
void reset_on_close(boost::asio::ip::tcp::socket& socket, bool enabled)
{
    const linger chosen{enabled ? 1 : 0, 0};
    ::setsockopt(socket.native_handle(), SOL_SOCKET, SO_LINGER, &chosen, sizeof chosen);
}

} // namespace vanillagauge::net::internal
