#include "keeper/idle_channels.hpp"

namespace vanillagauge::keeper {
namespace {

/// A connection pings twice a second, which for hundreds of peers costs more than all datagrams together; two
/// seconds cover the calls that follow one another.
constexpr milliseconds idle_time{2000};

} // namespace

std::shared_ptr<wire::channel> idle_channels::at(const std::string& address, time_point now)
{
    const std::lock_guard lock(mutex_);
    auto& entry = slots_[address];
    if (!entry.channel) {
        entry.channel = std::make_shared<wire::peer_channel>(loop_, address);
    }
    entry.used = now;
    return entry.channel;
}

void idle_channels::close_idle(time_point now)
{
    std::map<std::string, slot> closed;
    const std::lock_guard lock(mutex_);
    for (auto it = slots_.begin(); it != slots_.end();) {
        const auto next = std::next(it);
        if (now - it->second.used > idle_time) {
            closed.insert(slots_.extract(it));
        }
        it = next;
    }
}

void idle_channels::close_all()
{
    const std::lock_guard lock(mutex_);
    for (const auto& [address, entry] : slots_) {
        entry.channel->close();
    }
    slots_.clear();
}

} // namespace vanillagauge::keeper
