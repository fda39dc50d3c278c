/// Opening of listening sockets.
#ifndef VANILLAGAUGE_BASE_LISTENING_HPP
#define VANILLAGAUGE_BASE_LISTENING_HPP

#include "base/clock.hpp"

#include <boost/asio/ip/tcp.hpp>

namespace vanillagauge {

/// How long a program waits at its start for an address that another socket still holds.
constexpr milliseconds address_wait{5000};

/// Listens on the address. Tries again for `patience` while the address is in use, and blocks the thread in
/// between. Returns the last outcome; leaves the acceptor closed if it fails.
boost::system::error_code listen(boost::asio::ip::tcp::acceptor& acceptor,
                                 const boost::asio::ip::tcp::endpoint& local, duration patience);

} // namespace vanillagauge

#endif
