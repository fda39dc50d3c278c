#include "../odd_json.hpp"
#include "objects/object_client.hpp"

#include "platform.pb.h"

#include <gtest/gtest.h>

#include <deque>
#include <future>

namespace vanillagauge::objects {
namespace {

namespace pb = ::platform::v1;

/// Replies to each call with the next prepared reply, without a network.
class scripted_channel final : public wire::channel {
public:
    std::deque<std::function<result<std::string>(const std::string& body)>> replies;

    wire::codec encoding() const override { return wire::codec::protobuf; }
    wire::call_cancel start(const std::string& /*path*/, std::string body,
                            const wire::call_options& /*options*/, on_chunk /*chunk*/, on_done done) override
    {
        auto reply = std::move(replies.front());
        replies.pop_front();
        done(reply(body));
        return [] {};
    }
};

error lost_reply()
{
    return {error_code::deadline_exceeded, run_state::in_doubt, "no reply"};
}

std::string found_object(std::uint64_t version, const std::string& operation_id)
{
    pb::ReadReply reply;
    reply.set_found(true);
    auto& object = *reply.mutable_object();
    object.set_kind("job");
    object.set_name("a");
    object.set_version(version);
    object.set_operation_id(operation_id);
    return reply.SerializeAsString();
}

write_outcome write_through(scripted_channel& channel, std::uint64_t expected_version)
{
    wire::event_loop loop;
    object_client client(channel, loop);
    std::promise<write_outcome> outcome;
    client.write_object({"job", "a", "{}", expected_version},
                        [&outcome](const write_outcome& settled) { outcome.set_value(settled); });
    return outcome.get_future().get();
}

// Guards against reporting an applied write as failed because its reply was lost.
TEST(object_client, reports_written_when_the_read_back_finds_its_operation)
{
    scripted_channel channel;
    std::string operation;
    channel.replies.emplace_back([&operation](const std::string& body) {
        pb::WriteRequest request;
        request.ParseFromString(body);
        operation = request.operation_id();
        return lost_reply();
    });
    channel.replies.emplace_back([&operation](const std::string&) { return found_object(6, operation); });
    const auto outcome = write_through(channel, 5);
    ASSERT_TRUE(std::holds_alternative<written>(outcome));
    EXPECT_EQ(std::get<written>(outcome).version, 6U);
}

// Guards against reporting "conflict, not run" for a write that may have been applied: its reply was lost and
// another operator changed the object before the read-back.
TEST(object_client, reports_in_doubt_when_a_later_version_follows_a_lost_reply)
{
    scripted_channel channel;
    channel.replies.emplace_back([](const std::string&) { return lost_reply(); });
    channel.replies.emplace_back([](const std::string&) { return found_object(7, "another operation"); });
    const auto outcome = write_through(channel, 5);
    ASSERT_TRUE(std::holds_alternative<write_superseded>(outcome));
    EXPECT_EQ(failure(to_result(outcome, 5)).ran, run_state::in_doubt);
}

// Guards against giving up when the write is applied only after the first read-back.
TEST(object_client, repeats_the_read_back_until_a_late_write_is_applied)
{
    scripted_channel channel;
    std::string operation;
    channel.replies.emplace_back([&operation](const std::string& body) {
        pb::WriteRequest request;
        request.ParseFromString(body);
        operation = request.operation_id();
        return lost_reply();
    });
    channel.replies.emplace_back([](const std::string&) { return found_object(5, "the one before"); });
    channel.replies.emplace_back([&operation](const std::string&) { return found_object(6, operation); });
    EXPECT_TRUE(std::holds_alternative<written>(write_through(channel, 5)));
}

TEST(object_client, reports_a_failed_condition_as_a_conflict_not_run)
{
    scripted_channel channel;
    channel.replies.emplace_back([](const std::string&) -> result<std::string> {
        pb::WriteReply reply;
        reply.mutable_object()->set_version(9);
        return reply.SerializeAsString();
    });
    const auto outcome = write_through(channel, 5);
    ASSERT_TRUE(std::holds_alternative<write_conflict>(outcome));
    EXPECT_EQ(failure(to_result(outcome, 5)).ran, run_state::not_run);
}

// Guards against a stored value of another writer that ends the process that shows it in a conflict.
TEST(object_client, reports_a_conflict_with_a_deeply_nested_value)
{
    stored_object current;
    current.kind = "job";
    current.name = "a";
    current.version = 9;
    current.value = nested_arrays();
    const auto refused = failure(to_result(write_conflict{current}, 5));
    EXPECT_EQ(refused.code, error_code::conflict);
    EXPECT_NE(refused.current.find("\"version\":\"9\""), std::string::npos);
}

} // namespace
} // namespace vanillagauge::objects
