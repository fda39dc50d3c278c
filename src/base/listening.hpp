/// Opening of listening sockets.
#ifndef VANILLAGAUGE_BASE_LISTENING_HPP
#define VANILLAGAUGE_BASE_LISTENING_HPP

#include "base/clock.hpp"
#include "base/error.hpp"

#include <boost/asio/ip/tcp.hpp>

#include <string>

namespace vanillagauge {

/// How long a program waits at its start for an address that another socket still holds.
constexpr milliseconds address_wait{5000};

/// Listens on the address. Tries again for `patience` while the address is in use, and blocks the thread in
/// between. Returns the last outcome; leaves the acceptor closed if it fails. Ends with `operation_aborted`
/// once SIGTERM or SIGINT is pending, which a program blocks and handles when it has started.
boost::system::error_code listen(boost::asio::ip::tcp::acceptor& acceptor,
                                 const boost::asio::ip::tcp::endpoint& local, duration patience);

/// The error of a program that could not listen on `address`; `cancelled` if it was told to stop meanwhile.
error listening_error(const std::string& address, boost::system::error_code why);

} // namespace vanillagauge

#endif
