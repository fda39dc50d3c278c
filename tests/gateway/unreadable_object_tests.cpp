#include "deployment.hpp"

#include "gateway/fleet_view.hpp"
#include "gateway/peer_relay.hpp"
#include "platform/platform_store.hpp"

#include <gtest/gtest.h>

namespace vanillagauge::gateway {
namespace {

constexpr const char* kind = "own";

/// A way to the store without peers; the store has an object that can be read and one that cannot.
struct relay_beside_an_unreadable_object : deployment {
    wire::event_loop loop;
    platform::platform_store store{loop.context(), store_address()};
    fleet_view fleet{loop, make_settings("a", store_address(), {})};
    peer_relay relay{loop.context(), store, fleet};

    explicit relay_beside_an_unreadable_object(const std::string& text)
    {
        modify_store([&text](standins::fake_store& changed) {
            changed.put(kind, "sound", {{"n", 1}});
            changed.put_text(kind, "odd", text);
        });
    }
    ~relay_beside_an_unreadable_object() { loop.stop(); }

    result<stored_object> read(const std::string& name)
    {
        std::promise<result<stored_object>> promise;
        loop.post([&] { net::start(loop.context(), complete(name, promise)); });
        return promise.get_future().get();
    }

private:
    net::task<void> complete(std::string name, std::promise<result<stored_object>>& promise)
    {
        auto outcome = co_await relay.read(kind, std::move(name));
        promise.set_value(std::move(outcome));
    }
};

// Guards against an object that cannot be read and makes the store seem away, so that no other call is made.
TEST(unreadable_object, costs_no_other_call_to_the_store)
{
    for (const auto* text : {"", "hello", "{", "[]", "{}", R"({"Metadata":7})",
                             R"({"Metadata":{"Name":"odd","Revision":-1}})", "\xff"}) {
        relay_beside_an_unreadable_object all(text);
        EXPECT_FALSE(ok(all.read("odd"))) << text;
        const auto sound = all.read("sound");
        EXPECT_TRUE(ok(sound)) << "after '" << text << "': " << describe(failure(sound));
    }
}

} // namespace
} // namespace vanillagauge::gateway
