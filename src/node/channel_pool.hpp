/// Shared channels by address, created at first use.
#ifndef VANILLAGAUGE_NODE_CHANNEL_POOL_HPP
#define VANILLAGAUGE_NODE_CHANNEL_POOL_HPP

#include "wire/channel.hpp"
#include "wire/event_loop.hpp"

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>

namespace vanillagauge::node {

class channel_pool {
public:
    using factory = std::function<std::shared_ptr<wire::channel>(const std::string& address)>;

    explicit channel_pool(factory create) : factory_(std::move(create)) {}

    std::shared_ptr<wire::channel> at(const std::string& address);

private:
    factory factory_;
    std::mutex mutex_;
    std::map<std::string, std::shared_ptr<wire::channel>> channels_;
};

/// Channels with HTTP/1.1 and JSON, for targets and the platform.
channel_pool http_channels(wire::event_loop& loop);
/// Channels with HTTP/2, for processes of this service.
channel_pool peer_channels(wire::event_loop& loop);

} // namespace vanillagauge::node

#endif
