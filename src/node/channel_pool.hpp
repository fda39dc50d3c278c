/// Channels by address, made at first use and shared.
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

/// HTTP/1.1 with JSON, for targets and the platform.
channel_pool http_channels(wire::event_loop& loop);
/// HTTP/2, for our own processes.
channel_pool peer_channels(wire::event_loop& loop);

} // namespace vanillagauge::node

#endif
