#include "deployment.hpp"

#include "gateway/feed_sync.hpp"

#include <gtest/gtest.h>

namespace vanillagauge::gateway {
namespace {

using nlohmann::json;

/// A store relay without the rest of the gateway.
struct standalone_relay : deployment {
    wire::event_loop loop;
    platform::platform_store store{loop.context(), store_address()};
    fleet_view fleet{loop, make_settings("a", store_address(), {})};
    peer_relay relay{loop.context(), store, fleet};

    ~standalone_relay() { loop.stop(); }

    net::http_response answer_to(const std::string& body)
    {
        std::promise<net::http_response> promise;
        loop.post([&] { net::start(loop.context(), serve(body, promise)); });
        return promise.get_future().get();
    }

private:
    net::task<void> serve(std::string body, std::promise<net::http_response>& promise)
    {
        net::http_request request;
        request.body = std::move(body);
        auto response = co_await relay.serve(request);
        promise.set_value(std::move(response));
    }
};

// Guards against an exception on malformed calls, as by another program's client on a reused port, that ends
// the gateway.
TEST(untrusted_input, relay_refuses_malformed_calls)
{
    standalone_relay all;
    for (const auto* body :
         {"", "hello", "[]", "{}", R"({"op": 1, "kind": "servers", "name": ""})",
          R"({"op": "list", "kind": {}, "name": ""})", R"({"op": "read", "kind": "servers", "name": 7})",
          R"({"op": "replace", "kind": "servers", "name": "r", "value": {}})",
          R"({"op": "replace", "kind": "servers", "name": "r", "value": {}, "revision": "x"})",
          R"({"op": "erase", "kind": "servers", "name": "r"})"}) {
        EXPECT_EQ(all.answer_to(body).status, 400) << body;
    }
    const auto served = all.answer_to(R"({"op": "read", "kind": "config", "name": "main"})");
    EXPECT_EQ(served.status, 200);
    EXPECT_EQ(json::parse(served.body)["done"]["name"], "main");
}

// Guards against an exception on malformed objects in the gateways' own kinds that ends every gateway reading
// them.
TEST(untrusted_input, gateway_ignores_malformed_objects)
{
    deployment all;
    all.add_replica("r1", "plain");
    all.modify_store([](standins::fake_store& store) {
        store.put("gateways", "other", {{"peer", 7}});
        store.put("gateways", "empty", json());
        store.put("leases", "weights", {{"holder", 3}});
    });
    auto& served = all.add_gateway("a");
    EXPECT_TRUE(deployment::eventually([&] { return served.ready(); }));
    const auto lease_is_taken = [&] {
        const auto lease = all.inspect_store<json>(
            [](standins::fake_store& store) { return store.find("leases", "weights"); });
        return lease["Specification"]["holder"].is_string();
    };
    EXPECT_TRUE(deployment::eventually(lease_is_taken));
    EXPECT_EQ(all.status_of(served.address(), make_request("/safe/1", "a1")), 200);
}

} // namespace
} // namespace vanillagauge::gateway
