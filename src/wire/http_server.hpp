/// The HTTP/1.1 front of a dispatcher, on Boost.Beast. See docs/design/http-server.md.
#ifndef VANILLAGAUGE_WIRE_HTTP_SERVER_HPP
#define VANILLAGAUGE_WIRE_HTTP_SERVER_HPP

#include "wire/dispatcher.hpp"

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace vanillagauge::wire {

/// What one connection may cost. Beyond a limit the client gets a typed error and the connection ends.
struct http_limits {
    std::size_t body_bytes = 4U << 20U;
    std::size_t header_bytes = 16U << 10U;
    /// Answer bytes kept for a client that reads too slowly; a stream beyond them is cut.
    std::size_t unsent_bytes = 8U << 20U;
    std::size_t connections = 4096;
    milliseconds header_time{10000}; ///< from the first byte of a request to the end of its headers
    milliseconds body_time{10000};   ///< longest time a sender may take over its body
    milliseconds write_time{30000};  ///< longest silence of a client that is to read its answer
    /// Longer than the 30 s after which cpprestsdk's client drops a pooled connection, so that the client is
    /// the one that closes: a server's close could cross a request on its way.
    milliseconds idle_time{60000};
    milliseconds drain_grace{100};  ///< how long a stopping server waits for a request on an idle connection
    milliseconds linger_time{1000}; ///< how long a client may take to close after its last answer
};

class http_server {
public:
    /// `pages` are plain GET pages by path, such as /metrics.
    http_server(const dispatcher& calls, http_limits limits,
                std::map<std::string, std::function<std::string()>> pages = {});
    ~http_server();
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;

    /// Opens `host:port`; port 0 picks a free one. Returns the bound address.
    result<std::string> open(const std::string& address);
    /// Refuses new connections, waits for the answers in flight, and closes.
    void close();

private:
    struct state;
    std::unique_ptr<state> state_;
};

/// Sets the threads of each HTTP server and of cpprestsdk's client; call before the first of either.
void set_http_threads(std::size_t threads);

} // namespace vanillagauge::wire

#endif
