/// Socket options: detection of unresponsive peers, and what closing a socket does.
#ifndef VANILLAGAUGE_NET_INTERNAL_SOCKET_OPTIONS_HPP
#define VANILLAGAUGE_NET_INTERNAL_SOCKET_OPTIONS_HPP

#include <boost/asio/ip/tcp.hpp>

namespace vanillagauge::net::internal {

/// Sends each write at once.
void set_no_delay(boost::asio::ip::tcp::socket& socket);

/// Fails the connection after about three seconds without an answer from the peer, also while nothing is
/// sent.
///
/// A connection that the kernel has failed can no longer be reset, so what is on its way may still arrive.
void fail_when_silent(boost::asio::ip::tcp::socket& socket);

/// Whether every close of the socket, by the end of the process too, resets the connection.
void reset_on_close(boost::asio::ip::tcp::socket& socket, bool enabled);

} // namespace vanillagauge::net::internal

#endif
