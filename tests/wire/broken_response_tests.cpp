// Targets whose responses are not valid HTTP.
#include "wire/wire.hpp"

#include "../early_peer.hpp"
#include "../scripted_peer.hpp"
#include "target.pb.h"

#include <gtest/gtest.h>

#include <future>

namespace vanillagauge::wire {
namespace {

constexpr seconds call_timeout{10};

const std::string reply = R"({"request_id":"r1","body":"aGVsbG8="})";
const std::string json_type = "Content-Type: application/json\r\n";

result<target::v1::CallReply> call_target(const std::string& address, const std::string& body = "hello")
{
    event_loop loop;
    http_channel link(loop, address);
    std::promise<result<target::v1::CallReply>> outcome;
    call_options options;
    options.timeout = call_timeout;
    target::v1::CallRequest request;
    request.set_request_id("r1");
    request.set_body(body);
    call<target::v1::CallReply>(
        link, method<target::v1::PlainService>("Call"), request, options,
        [&outcome](const result<target::v1::CallReply>& ended) { outcome.set_value(ended); });
    return outcome.get_future().get();
}

result<target::v1::CallReply> call_with_response(const std::string& bytes)
{
    scripted_peer target([&](const scripted_request&) -> scripted_response {
        return {bytes, connection_end::fin};
    });
    return call_target(target.address());
}

void expect_in_doubt(const result<target::v1::CallReply>& outcome)
{
    ASSERT_FALSE(ok(outcome));
    EXPECT_EQ(failure(outcome).ran, run_state::in_doubt) << describe(failure(outcome));
}

void expect_reply(const result<target::v1::CallReply>& outcome)
{
    ASSERT_TRUE(ok(outcome)) << describe(failure(outcome));
    EXPECT_EQ(value(outcome).request_id(), "r1");
    EXPECT_EQ(value(outcome).body(), "hello");
}

TEST(sound_response, is_the_reply)
{
    for (const auto how : {framing::length, framing::chunked, framing::connection}) {
        expect_reply(call_with_response(response_text(how, json_type, reply)));
    }
}

// Guards against a promise that a call has not run, which was read from a response that is none.
TEST(broken_response, of_no_final_status_leaves_a_call_in_doubt)
{
    const std::string refusal = R"({"code":"overloaded","run_state":"NOT_RUN","detail":"full"})";
    for (const std::string status : {"000", "099", "100", "101", "103", "600", "999"}) {
        SCOPED_TRACE(status);
        for (const auto& body : {refusal, response_text(framing::length, json_type, reply)}) {
            for (const auto how : {framing::length, framing::connection}) {
                auto text = response_text(how, json_type, body);
                text.replace(text.find("200"), status.size(), status);
                expect_in_doubt(call_with_response(text));
            }
        }
    }
}

/// A response with one more field, of this name.
std::string with_field_name(const std::string& name)
{
    return response_text(framing::length, json_type + name + ": 1\r\n", reply);
}

/// A response with `odd` behind the name of the field that tells the framing.
std::string with_framing_name(framing how, const std::string& odd)
{
    auto text = response_text(how, json_type, reply);
    const std::string name = how == framing::length ? "Content-Length" : "Transfer-Encoding";
    return text.insert(text.find(name) + name.size(), odd);
}

// Guards against a reply that is read though the name of a field shows that the target's bytes are broken.
TEST(broken_response, with_an_odd_field_name_leaves_a_call_in_doubt)
{
    for (const std::string name : {"Odd name", "Odd\tname", "Odd\x01name", "Odd\x7fname", "Odd\xe9name",
                                   "Odd-name\x01", "\x01Odd-name", "", "Odd(name)"}) {
        SCOPED_TRACE(name);
        expect_in_doubt(call_with_response(with_field_name(name)));
    }
    expect_in_doubt(call_with_response(with_framing_name(framing::length, "\x01")));
    expect_in_doubt(call_with_response(with_framing_name(framing::chunked, "\x01")));
}

// As above, with blanks around the name.
TEST(blank_around_a_field_name, leaves_a_call_in_doubt)
{
    for (const std::string name : {" Odd-name", "\tOdd-name", "Odd-name ", "Odd-name\t"}) {
        SCOPED_TRACE(name);
        expect_in_doubt(call_with_response(with_field_name(name)));
    }
    for (const std::string odd : {" ", "\t"}) {
        SCOPED_TRACE(odd);
        expect_in_doubt(call_with_response(with_framing_name(framing::length, odd)));
        expect_in_doubt(call_with_response(with_framing_name(framing::chunked, odd)));
    }
}

// Guards against a coded body that is read as the reply.
TEST(broken_response, in_another_transfer_coding_leaves_a_call_in_doubt)
{
    for (const std::string codings : {"gzip", "gzip, chunked", "chunked, chunked", "identity"}) {
        SCOPED_TRACE(codings);
        const auto fields = json_type + "Transfer-Encoding: " + codings + "\r\n";
        expect_in_doubt(call_with_response(response_text(framing::connection, fields, reply)));
    }
}

// Guards against the beginning of a reply that is taken for a whole one.
TEST(broken_response, that_was_reset_during_an_upload_leaves_a_call_in_doubt)
{
    const early_peer target(
        [](const early_peer::head&) { return response_text(framing::connection, json_type, reply); },
        early_end::reset);
    expect_in_doubt(call_target(target.address(), std::string(12U << 20U, 'x')));
    EXPECT_EQ(target.requests(), 1);
}

} // namespace
} // namespace vanillagauge::wire
