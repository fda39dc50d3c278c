// Responses of other gateways that end after each of their bytes.
#include "../../scripted_peer.hpp"
#include "relay_parts.hpp"

#include "gateway/callers/relay_messages.hpp"

#include <gtest/gtest.h>

namespace vanillagauge::gateway {
namespace {

using nlohmann::json;

/// Calls `check` with the address of a peer for each cut of its response.
void with_each_cut(const std::string& body, const std::function<void(const std::string& address)>& check)
{
    for (const auto how : {framing::length, framing::chunked, framing::connection}) {
        const auto whole = response_text(how, "", body);
        for (const auto end : {connection_end::fin, connection_end::reset}) {
            for (std::size_t cut = 0; cut < whole.size(); ++cut) {
                SCOPED_TRACE("cut after " + whole.substr(0, cut));
                const scripted_peer peer([&](const scripted_request&) -> scripted_response {
                    return {whole.substr(0, cut), end};
                });
                check(peer.address());
            }
        }
    }
}

// Guards against a caller that gets a part of a hub's answer, or a second run of a request that the hub may
// have run without any doubt.
TEST(cut_peer_responses, of_a_hub_leave_the_request_in_doubt)
{
    relay_parts all;
    with_each_cut("  " + to_text({"a1", net::http_response{200, {}, "text"}}),
                  [&](const std::string& address) {
                      const auto outcome = all.send(address, "a1");
                      const auto* failed = std::get_if<relay_failure>(&outcome);
                      ASSERT_NE(failed, nullptr);
                      EXPECT_TRUE(failed->in_doubt);
                  });
}

/// Calls of one gateway to another.
struct peer_calls {
    wire::event_loop loop;
    platform::platform_store store{loop.context(), "127.0.0.1:1"};
    fleet_view fleet{loop, make_settings("a", "127.0.0.1:1", {})};
    peer_relay relay{loop.context(), store, fleet};

    peer_calls() = default;
    ~peer_calls() { loop.stop(); }
    peer_calls(const peer_calls&) = delete;
    peer_calls& operator=(const peer_calls&) = delete;

    result<json> call(const std::string& address)
    {
        std::promise<result<json>> promise;
        loop.post([&] { net::start(loop.context(), run(address, promise)); });
        return promise.get_future().get();
    }

private:
    net::task<void> run(std::string address, std::promise<result<json>>& promise)
    {
        auto outcome =
            co_await relay.call_peer(std::move(address), "/x", json::object(), steady::now() + seconds(2));
        promise.set_value(std::move(outcome));
    }
};

// Guards against a message of another gateway that is taken for whole, and a write through it that is taken
// for not made.
TEST(cut_peer_responses, leave_a_call_in_doubt)
{
    peer_calls all;
    with_each_cut(R"({"done":{"name":"main","revision":123}})", [&](const std::string& address) {
        const auto outcome = all.call(address);
        ASSERT_FALSE(ok(outcome));
        EXPECT_EQ(failure(outcome).ran, run_state::in_doubt);
    });
}

} // namespace
} // namespace vanillagauge::gateway
