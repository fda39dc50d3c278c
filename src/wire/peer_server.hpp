/// The HTTP/2 front of a dispatcher for our own processes, on nghttp2.
#ifndef VANILLAGAUGE_WIRE_PEER_SERVER_HPP
#define VANILLAGAUGE_WIRE_PEER_SERVER_HPP

#include "wire/dispatcher.hpp"
#include "wire/event_loop.hpp"

#include <memory>
#include <string>

namespace vanillagauge::wire {

class peer_server {
public:
    /// Both must outlive the server.
    peer_server(event_loop& loop, const dispatcher& calls);
    ~peer_server();
    peer_server(const peer_server&) = delete;
    peer_server& operator=(const peer_server&) = delete;

    /// Opens `host:port`; port 0 picks a free one. Returns the bound address.
    result<std::string> open(const std::string& address);
    void close();

private:
    struct state;
    std::shared_ptr<state> state_;
};

} // namespace vanillagauge::wire

#endif
