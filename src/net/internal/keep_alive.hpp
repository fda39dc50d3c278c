/// Detection of unresponsive peers with TCP keep-alive.
#ifndef VANILLAGAUGE_NET_INTERNAL_KEEP_ALIVE_HPP
#define VANILLAGAUGE_NET_INTERNAL_KEEP_ALIVE_HPP

#include <boost/asio/ip/tcp.hpp>

namespace vanillagauge::net::internal {

/// Sets TCP_NODELAY, and keep-alive options that fail the connection after about three seconds without an
/// answer from the peer, also while nothing is sent.
void configure_socket(boost::asio::ip::tcp::socket& socket);

} // namespace vanillagauge::net::internal

#endif
