/// A caller that blocks: what it saw of each request, and when.
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
    int status = 0;     ///< 0: the connection ended without a whole answer
    std::string body;   ///< of the answer
    duration waited{0}; ///< from the last byte sent to the answer or the end
    time_point ended_at{};
};

/// One connection, used for one request after the other.
class stop_client {
public:
    /// Connects at once.
    explicit stop_client(const std::string& address);

    bool connected() const { return connected_; }
    /// Sends a request and waits for its answer or the end of the connection.
    sent_request send(const std::string& path, const std::string& id);
    /// The last answer ended the connection, or the gateway did.
    bool closed() const { return closed_; }

private:
    boost::asio::io_context context_;
    boost::asio::ip::tcp::socket socket_{context_};
    bool connected_ = false;
    bool closed_ = false;
};

} // namespace vanillagauge::tests

#endif
