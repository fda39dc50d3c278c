#include "net/internal/keep_alive.hpp"

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
constexpr unsigned int user_timeout_ms = 2500;

} // namespace

void configure_socket(boost::asio::ip::tcp::socket& socket)
{
    const int on = 1;
    const auto handle = socket.native_handle();
    // Errors are ignored: without an option the socket works, with more latency or slower detection.
    ::setsockopt(handle, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    ::setsockopt(handle, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof on);
    ::setsockopt(handle, IPPROTO_TCP, TCP_KEEPIDLE, &idle_seconds, sizeof idle_seconds);
    ::setsockopt(handle, IPPROTO_TCP, TCP_KEEPINTVL, &interval_seconds, sizeof interval_seconds);
    ::setsockopt(handle, IPPROTO_TCP, TCP_KEEPCNT, &max_probes, sizeof max_probes);
    ::setsockopt(handle, IPPROTO_TCP, TCP_USER_TIMEOUT, &user_timeout_ms, sizeof user_timeout_ms);
}

} // namespace vanillagauge::net::internal
