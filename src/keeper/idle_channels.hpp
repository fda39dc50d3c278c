/// Connections to other keepers that are closed after a while without use.
#ifndef VANILLAGAUGE_KEEPER_IDLE_CHANNELS_HPP
#define VANILLAGAUGE_KEEPER_IDLE_CHANNELS_HPP

#include "wire/event_loop.hpp"
#include "wire/peer_channel.hpp"

#include <map>
#include <memory>
#include <mutex>
#include <string>

namespace vanillagauge::keeper {

class idle_channels {
public:
    /// The loop must outlive it.
    explicit idle_channels(wire::event_loop& loop) : loop_(loop) {}

    /// Hold the result until the call has ended.
    std::shared_ptr<wire::channel> at(const std::string& address, time_point now);
    /// Closes what was not used for a while.
    void close_idle(time_point now);
    /// Ends every channel with its calls; further ones are opened as before.
    void close_all();

private:
    struct slot {
        std::shared_ptr<wire::peer_channel> channel;
        time_point used;
    };
    wire::event_loop& loop_;
    std::mutex mutex_;
    std::map<std::string, slot> slots_;
};

} // namespace vanillagauge::keeper

#endif
