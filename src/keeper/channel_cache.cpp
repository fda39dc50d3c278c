#include "keeper/channel_cache.hpp"

namespace vanillagauge::keeper {
namespace {

/// A connection sends two PINGs per second, which for hundreds of peers costs more than all datagrams; this
/// is long enough for consecutive calls to reuse it.
constexpr milliseconds idle_timeout{2000};

} // namespace

std::shared_ptr<wire::channel> channel_cache::at(const std::string& address, time_point now)
{
    const std::lock_guard lock(mutex_);
    auto& entry = channels_[address];
    if (!entry.channel) {
        entry.channel = std::make_shared<wire::peer_channel>(loop_, address);
    }
    entry.last_used = now;
    return entry.channel;
}

void channel_cache::close_idle(time_point now)
{
    std::map<std::string, cached_channel> closed;
    const std::lock_guard lock(mutex_);
    for (auto it = channels_.begin(); it != channels_.end();) {
        const auto next = std::next(it);
        if (now - it->second.last_used > idle_timeout) {
            closed.insert(channels_.extract(it));
        }
        it = next;
    }
}

void channel_cache::close_all()
{
    const std::lock_guard lock(mutex_);
    for (const auto& [address, entry] : channels_) {
        entry.channel->close();
    }
    channels_.clear();
}

} // namespace vanillagauge::keeper
