/// Connections to other keepers that are closed after a while without use.
#ifndef VANILLAGAUGE_KEEPER_CHANNEL_CACHE_HPP
#define VANILLAGAUGE_KEEPER_CHANNEL_CACHE_HPP

#include "wire/event_loop.hpp"
#include "wire/peer_channel.hpp"

#include <map>
#include <memory>
#include <mutex>
#include <string>

namespace vanillagauge::keeper {

class channel_cache {
public:
    /// The loop must outlive it.
    explicit channel_cache(wire::event_loop& loop) : loop_(loop) {}

    /// Hold the result until the call has ended.
    std::shared_ptr<wire::channel> at(const std::string& address, time_point now);
    /// Closes what was not used for a while.
    void close_idle(time_point now);
    /// Ends every channel with its calls; further ones are opened as before.
    void close_all();

private:
    struct cached_channel {
        std::shared_ptr<wire::peer_channel> channel;
        time_point last_used;
    };
    wire::event_loop& loop_;
    std::mutex mutex_;
    std::map<std::string, cached_channel> channels_;
};

} // namespace vanillagauge::keeper

#endif
