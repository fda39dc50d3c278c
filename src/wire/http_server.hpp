/// HTTP/1.1 server for a dispatcher, using Boost.Beast. See docs/design/http-server.md.
#ifndef VANILLAGAUGE_WIRE_HTTP_SERVER_HPP
#define VANILLAGAUGE_WIRE_HTTP_SERVER_HPP

#include "wire/dispatcher.hpp"

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace vanillagauge::wire {

/// Limits of a connection. A client that exceeds one gets a typed error, and the connection is closed.
struct http_limits {
    std::size_t body_bytes = 4U << 20U;
    std::size_t header_bytes = 16U << 10U;
    /// Response bytes buffered for a slow client; a stream that exceeds them is aborted.
    std::size_t unsent_bytes = 8U << 20U;
    std::size_t connections = 4096;
    milliseconds header_time{10000}; ///< from the first byte of a request to the end of its headers
    milliseconds body_time{10000};   ///< to read a request body
    milliseconds write_time{30000};  ///< for a single write of a response
    /// Longer than the 30 s after which cpprestsdk's client drops a pooled connection, so that the client
    /// closes first: a close by the server could cross a request.
    milliseconds idle_time{60000};
    milliseconds drain_grace{100};  ///< while draining, wait for a request on an idle connection
    milliseconds linger_time{1000}; ///< wait for the client to close after the last response
};

class http_server {
public:
    /// `pages` maps GET paths, such as /metrics, to functions that return their text.
    http_server(const dispatcher& calls, http_limits limits,
                std::map<std::string, std::function<std::string()>> pages = {});
    ~http_server();
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;

    /// Listens on `host:port`; port 0 picks a free port. Returns the bound address.
    result<std::string> open(const std::string& address);
    /// Stops accepting, waits for the responses in flight, and closes all connections.
    void close();

private:
    struct state;
    std::unique_ptr<state> state_;
};

/// Sets the thread count of each HTTP server and of cpprestsdk's client; call before creating either.
void set_http_threads(std::size_t threads);

} // namespace vanillagauge::wire

#endif
