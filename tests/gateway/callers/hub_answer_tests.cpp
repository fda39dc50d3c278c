// Answers of a hub, from a stand-in for it.
#include "relay_parts.hpp"

#include "gateway/callers/relay_messages.hpp"

#include <gtest/gtest.h>

namespace vanillagauge::gateway {
namespace {

/// A relay, and a hub that answers every request as if it had the given id.
struct relay_to_one_hub : relay_parts {
    net::http_service hub;
    std::string address;

    explicit relay_to_one_hub(std::string answered_id)
        : hub(
              events.context(), [] { return net::service_limits{}; },
              [answered_id](const net::http_request&, net::responder& answer) -> net::task<void> {
                  net::http_response response;
                  response.body = to_text({answered_id, net::http_response{200, {}, "text"}});
                  co_await answer.send(std::move(response));
              })
    {
        on_loop([this] { address = value(hub.open("127.0.0.1:0")); });
    }
    ~relay_to_one_hub() { stop(); }
    relay_to_one_hub(const relay_to_one_hub&) = delete;
    relay_to_one_hub& operator=(const relay_to_one_hub&) = delete;

    relay_outcome send(const std::string& id) { return relay_parts::send(address, id); }
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
