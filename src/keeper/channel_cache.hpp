/// Caches connections to other keepers and closes them when idle.
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

    /// Returns the cached channel or a new one. Keep it until the call has ended.
    std::shared_ptr<wire::channel> at(const std::string& address, time_point now);
    /// Drops the channels not used within the idle timeout.
    void close_idle(time_point now);
    /// Closes every channel and cancels its calls; later calls to `at` open new ones.
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
