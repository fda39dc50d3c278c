// Answers of a hub, from a stand-in for it.
#include "forwarder_parts.hpp"

#include "gateway/callers/relay_messages.hpp"
#include "gateway/callers/request_relay.hpp"

#include <gtest/gtest.h>

namespace vanillagauge::gateway {
namespace {

/// A relay without replicas, and a hub that answers every request as if it had the given id.
struct relay_to_one_hub : forwarder_parts {
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
    net::http_service hub;

    explicit relay_to_one_hub(std::string answered_id)
        : hub(
              events.context(), [] { return net::service_limits{}; },
              [answered_id](const net::http_request&, net::responder& answer) -> net::task<void> {
                  net::http_response response;
                  response.body = to_text({answered_id, net::http_response{200, {}, "text"}});
                  co_await answer.send(std::move(response));
              })
    {
    }
    ~relay_to_one_hub() { stop(); }
    relay_to_one_hub(const relay_to_one_hub&) = delete;
    relay_to_one_hub& operator=(const relay_to_one_hub&) = delete;

    relay_outcome send(const std::string& id)
    {
        std::promise<relay_outcome> promise;
        events.post([&] { net::start(events.context(), run(id, promise)); });
        return promise.get_future().get();
    }

private:
    net::task<void> run(std::string id, std::promise<relay_outcome>& promise)
    {
        relayed_request request;
        request.attempt_id = std::move(id);
        relay_hub chosen{"hub", value(hub.open("127.0.0.1:0"))};
        auto outcome = co_await relay.send(std::move(chosen), std::move(request), steady::now() + seconds(2),
                                           [](auto) { return true; });
        promise.set_value(std::move(outcome));
    }
};

TEST(hub_answers, are_taken_for_the_request_that_they_name)
{
    relay_to_one_hub all("a1");
    const auto outcome = all.send("a1");
    const auto* answer = std::get_if<relayed_answer>(&outcome);
    ASSERT_NE(answer, nullptr);
    EXPECT_EQ(value(answer->response).body, "text");
}

// Guards against a caller that gets another request's answer from a hub.
TEST(hub_answers, are_dropped_if_they_name_another_request)
{
    relay_to_one_hub all("another");
    const auto outcome = all.send("a1");
    const auto* failed = std::get_if<relay_failure>(&outcome);
    ASSERT_NE(failed, nullptr);
    EXPECT_STREQ(failed->cause, "foreign");
    EXPECT_TRUE(failed->in_doubt);
}

} // namespace
} // namespace vanillagauge::gateway
