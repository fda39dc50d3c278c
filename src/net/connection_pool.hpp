/// Idle connections to one address.
#ifndef VANILLAGAUGE_NET_CONNECTION_POOL_HPP
#define VANILLAGAUGE_NET_CONNECTION_POOL_HPP

#include "net/http_client.hpp"

#include <memory>
#include <string>
#include <vector>

namespace vanillagauge::net {

class connection_pool {
public:
    connection_pool(loop& context, std::string address, silence_limit limit = silence_limit::deadline)
        : loop_(&context), address_(std::move(address)), silence_limit_(limit)
    {
    }

    /// The most recently used connection that is reusable and has carried no exchange with this id, or a new
    /// one. The id is the one that the peer repeats in its response; empty if it repeats none.
    task<http_result<std::shared_ptr<http_connection>>> acquire(time_point deadline,
                                                                std::string exchange = {});
    /// Always a new connection.
    task<http_result<std::shared_ptr<http_connection>>> acquire_new(time_point deadline,
                                                                    std::string exchange = {});
    /// Pools the connection for at most `idle_time`; closes it if it is not reusable or its history is full.
    /// A full pool closes the connection that has been idle longest.
    void release(std::shared_ptr<http_connection> connection, duration idle_time);
    /// Whether `acquire` would return an open connection.
    bool has_idle();
    void clear() { idle_.clear(); }

    const std::string& address() const { return address_; }

private:
    struct idle_connection {
        std::shared_ptr<http_connection> connection;
        time_point released;
        time_point expires;
    };
    loop* loop_;
    std::string address_;
    silence_limit silence_limit_;
    std::shared_ptr<peer_silence> silence_ = std::make_shared<peer_silence>();
    std::vector<idle_connection> idle_;

    /// Drops connections that the peer is about to close, and those older than its last silence.
    void drop_expired();
};

/// How long the peer keeps an idle connection open, from the timeout of its Keep-Alive field less a safety
/// margin; `fallback` if it has none.
duration idle_time_of(const http_fields& fields, duration fallback);

} // namespace vanillagauge::net

#endif
