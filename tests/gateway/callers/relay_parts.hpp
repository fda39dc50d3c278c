/// A relay without replicas and without a gateway around it.
#ifndef VANILLAGAUGE_TESTS_GATEWAY_CALLERS_RELAY_PARTS_HPP
#define VANILLAGAUGE_TESTS_GATEWAY_CALLERS_RELAY_PARTS_HPP

#include "forwarder_parts.hpp"

#include "gateway/callers/request_relay.hpp"

namespace vanillagauge::gateway {

struct relay_parts : forwarder_parts {
    config::settings settings = make_settings("a", "127.0.0.1:1", {});
    fleet_view fleet{events, settings};
    configuration current;
    request_relay relay{events.context(),
                        forwarding,
                        fleet,
                        targets,
                        counts,
                        [this]() -> const configuration& { return current; },
                        []() -> net::task<void> { co_return; },
                        0};

    relay_parts() = default;
    ~relay_parts() { stop(); }
    relay_parts(const relay_parts&) = delete;
    relay_parts& operator=(const relay_parts&) = delete;

    /// Sends a request with this id to the hub at the address.
    relay_outcome send(const std::string& address, const std::string& id)
    {
        std::promise<relay_outcome> promise;
        events.post([&] { net::start(events.context(), run(address, id, promise)); });
        return promise.get_future().get();
    }

private:
    net::task<void> run(std::string address, std::string id, std::promise<relay_outcome>& promise)
    {
        relayed_request request;
        request.attempt_id = std::move(id);
        relay_hub hub{"hub", std::move(address)};
        relay_callbacks caller;
        caller.on_connected = [](auto) { return true; };
        auto outcome =
            co_await relay.send(std::move(hub), std::move(request), steady::now() + seconds(2), caller);
        promise.set_value(std::move(outcome));
    }
};

} // namespace vanillagauge::gateway

#endif
