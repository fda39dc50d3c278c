#include "net/internal/keep_alive.hpp"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace vanillagauge::net::internal {
namespace {

// Something between the two ends may lose track of a connection: both hold it open and no packet passes. A
// watch that waits for 20 s on it would miss every change meanwhile. One second of idleness and two probes a
// second apart find it in about three seconds, the time that the fleet's own view of a lost VM takes.
constexpr int idle_seconds = 1;
constexpr int interval_seconds = 1;
constexpr int max_probes = 2;
constexpr unsigned int user_timeout_ms = 2500;

} // namespace

void configure_socket(boost::asio::ip::tcp::socket& socket)
{
    const int on = 1;
    const auto handle = socket.native_handle();
    // A socket that refuses an option works on, only slower or with a longer silence.
    ::setsockopt(handle, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    ::setsockopt(handle, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof on);
    ::setsockopt(handle, IPPROTO_TCP, TCP_KEEPIDLE, &idle_seconds, sizeof idle_seconds);
    ::setsockopt(handle, IPPROTO_TCP, TCP_KEEPINTVL, &interval_seconds, sizeof interval_seconds);
    ::setsockopt(handle, IPPROTO_TCP, TCP_KEEPCNT, &max_probes, sizeof max_probes);
    ::setsockopt(handle, IPPROTO_TCP, TCP_USER_TIMEOUT, &user_timeout_ms, sizeof user_timeout_ms);
}

} // namespace vanillagauge::net::internal
