#include "node/channel_pool.hpp"

#include "wire/http_channel.hpp"
#include "wire/peer_channel.hpp"

namespace vanillagauge::node {

std::shared_ptr<wire::channel> channel_pool::at(const std::string& address)
{
    const std::lock_guard lock(mutex_);
    auto& channel = channels_[address];
    if (!channel) {
        channel = factory_(address);
    }
    return channel;
}

channel_pool http_channels(wire::event_loop& loop)
{
    return channel_pool(
        [&loop](const std::string& address) { return std::make_shared<wire::http_channel>(loop, address); });
}

channel_pool peer_channels(wire::event_loop& loop)
{
    return channel_pool(
        [&loop](const std::string& address) { return std::make_shared<wire::peer_channel>(loop, address); });
}

} // namespace vanillagauge::node
