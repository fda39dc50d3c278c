/// A blocking client that records the outcome and timing of each request.
#ifndef VANILLAGAUGE_TESTS_STOP_STOP_CLIENT_HPP
#define VANILLAGAUGE_TESTS_STOP_STOP_CLIENT_HPP

#include "base/clock.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <string>

namespace vanillagauge::tests {

struct sent_request {
    std::string id;
    bool connected = false;
    bool sent = false;  ///< the connection was still open
    int status = 0;     ///< 0: the connection closed without a complete response
    std::string body;   ///< of the response
    duration waited{0}; ///< from the last byte sent to the response or the close
    time_point ended_at{};
};

/// One connection for consecutive requests.
class stop_client {
public:
    /// Connects at once.
    explicit stop_client(const std::string& address);

    bool connected() const { return connected_; }
    /// Sends a request and waits for the response or the close of the connection.
    sent_request send(const std::string& path, const std::string& id);
    /// Whether the gateway or the last response closed the connection.
    bool closed() const { return closed_; }

private:
    boost::asio::io_context context_;
    boost::asio::ip::tcp::socket socket_{context_};
    bool connected_ = false;
    bool closed_ = false;
};

} // namespace vanillagauge::tests

#endif
