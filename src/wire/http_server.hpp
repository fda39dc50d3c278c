/// The HTTP/1.1 front of a dispatcher, on cpprestsdk's listener.
#ifndef VANILLAGAUGE_WIRE_HTTP_SERVER_HPP
#define VANILLAGAUGE_WIRE_HTTP_SERVER_HPP

#include "wire/dispatcher.hpp"

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace vanillagauge::wire {

struct http_limits {
    std::size_t body_bytes = 4U << 20U;
    milliseconds body_time{10000}; ///< longest time a sender may take over its body
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
    /// Stops listening and waits for the answers in flight.
    void close();

private:
    struct state;
    std::unique_ptr<state> state_;
};

/// Sets the size of cpprestsdk's shared thread pool; call before the first server or channel.
void set_http_threads(std::size_t threads);

} // namespace vanillagauge::wire

#endif
