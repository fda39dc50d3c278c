/// HTTP/2 server for a dispatcher, for calls between processes of this service, using nghttp2.
#ifndef VANILLAGAUGE_WIRE_PEER_SERVER_HPP
#define VANILLAGAUGE_WIRE_PEER_SERVER_HPP

#include "wire/dispatcher.hpp"
#include "wire/event_loop.hpp"

#include <memory>
#include <string>

namespace vanillagauge::wire {

class peer_server {
public:
    /// The loop and the dispatcher must outlive the server.
    peer_server(event_loop& loop, const dispatcher& calls);
    ~peer_server();
    peer_server(const peer_server&) = delete;
    peer_server& operator=(const peer_server&) = delete;

    /// Listens on `host:port`; port 0 picks a free port. Returns the bound address.
    result<std::string> open(const std::string& address);
    void close();

private:
    struct state;
    std::shared_ptr<state> state_;
};

} // namespace vanillagauge::wire

#endif
