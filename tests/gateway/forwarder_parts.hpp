/// A forwarder on loopback with the parts that it needs, without a gateway around it.
#ifndef VANILLAGAUGE_TESTS_GATEWAY_FORWARDER_PARTS_HPP
#define VANILLAGAUGE_TESTS_GATEWAY_FORWARDER_PARTS_HPP

#include "deployment.hpp"

#include "platform/replica_protocol.hpp"

#include <functional>
#include <future>

namespace vanillagauge::gateway {

/// What derives from it or holds it calls `stop` before its own parts are destroyed.
struct forwarder_parts {
    wire::event_loop events;
    target_registry targets{events.context()};
    platform::replica_protocol protocol;
    observe::metrics counts;
    policy::quarantine crashes;
    forwarder forwarding{events.context(), targets, protocol, counts, crashes, "z1"};

    void stop() { events.stop(); }
    /// Runs `work` on the loop and waits for its end.
    void on_loop(const std::function<void()>& work)
    {
        std::promise<void> promise;
        events.post([&] {
            work();
            promise.set_value();
        });
        promise.get_future().get();
    }
};

} // namespace vanillagauge::gateway

#endif
