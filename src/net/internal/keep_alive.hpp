/// Finds connections that have gone silent for good.
#ifndef VANILLAGAUGE_NET_INTERNAL_KEEP_ALIVE_HPP
#define VANILLAGAUGE_NET_INTERNAL_KEEP_ALIVE_HPP

#include <boost/asio/ip/tcp.hpp>

namespace vanillagauge::net::internal {

/// Prepares a connected socket: small writes go at once, and a peer that does not answer probes for some
/// three seconds ends the connection with an error, also while nothing is sent.
void configure_socket(boost::asio::ip::tcp::socket& socket);

} // namespace vanillagauge::net::internal

#endif
