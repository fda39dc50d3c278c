/// Connections of clients that do not behave, all to one address.
#ifndef VANILLAGAUGE_TESTS_CLIENT_CROWDS_CROWD_HPP
#define VANILLAGAUGE_TESTS_CLIENT_CROWDS_CROWD_HPP

#include "crowd_kinds.hpp"
#include "net/task.hpp"

#include <boost/asio/ip/tcp.hpp>

#include <memory>
#include <string>
#include <vector>

namespace vanillagauge::client_crowds {

class crowd {
public:
    /// Connects and sends; the kind must outlive the crowd.
    crowd(net::loop& loop, const crowd_kind& kind, const std::string& address);

    /// Whether each client has sent all, has lost its connection, or can send nothing for a while.
    bool stands() const;
    /// Closes all connections.
    void leave();
    std::size_t bytes_sent() const;

private:
    struct client {
        explicit client(net::loop& loop) : socket(loop) {}
        boost::asio::ip::tcp::socket socket;
        bool done = false;
        std::size_t sent = 0;
        time_point progressed_at = steady::now();
    };

    const crowd_kind& kind_;
    boost::asio::ip::tcp::endpoint address_;
    std::vector<std::shared_ptr<client>> clients_;

    net::task<void> play(std::shared_ptr<client> one, std::size_t number);
    /// False once the connection is lost.
    static net::task<bool> send(client& one, const std::string& text);
};

} // namespace vanillagauge::client_crowds

#endif
