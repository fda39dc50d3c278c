#include "wire/wire.hpp"

#include "target.pb.h"

#include <gtest/gtest.h>

#include <thread>

namespace vanillagauge::wire {
namespace {

class echo_service final : public target::v1::PlainService {
public:
    void Call(google::protobuf::RpcController* base, const target::v1::CallRequest* request,
              target::v1::CallReply* reply, google::protobuf::Closure* done) override
    {
        if (request->body() == "fail") {
            controller_of(base).fail(
                {error_code::overloaded, run_state::not_run, "asked to", milliseconds{250}});
        }
        reply->set_request_id(request->request_id());
        reply->set_body(request->body());
        done->Run();
    }
};

class counting_engine final : public target::v1::Engine {
public:
    void Generate(google::protobuf::RpcController* base, const target::v1::GenerateRequest* request,
                  target::v1::GenerateChunk* /*unused*/, google::protobuf::Closure* done) override
    {
        for (int index = 0; index < request->max_tokens(); ++index) {
            target::v1::GenerateChunk chunk;
            chunk.set_sequence(index);
            controller_of(base).write(chunk);
        }
        if (request->prompt() == "break") {
            controller_of(base).fail({error_code::unavailable, run_state::ran, "broke"});
        }
        done->Run();
    }
};

struct test_server {
    event_loop loop;
    echo_service echo;
    counting_engine engine;
    dispatcher calls{access_table{{{role::caller, "secret"}}}};
    http_server http{calls, {}};
    peer_server peers{loop, calls};
    std::string http_address;
    std::string peer_address;

    test_server()
    {
        calls.mount(echo, role::caller);
        calls.mount(engine, role::anyone);
        http_address = value(http.open("127.0.0.1:0"));
        peer_address = value(peers.open("127.0.0.1:0"));
    }
};

target::v1::CallRequest request_with(const std::string& body)
{
    target::v1::CallRequest request;
    request.set_request_id("r1");
    request.set_body(body);
    return request;
}

call_options with_token(const std::string& token)
{
    call_options options;
    options.token = token;
    return options;
}

const std::string call_path = method<target::v1::PlainService>("Call");

TEST(http_call, returns_response)
{
    test_server server;
    http_channel link(server.loop, server.http_address);
    const auto reply =
        call_and_wait<target::v1::CallReply>(link, call_path, request_with("hello"), with_token("secret"));
    ASSERT_TRUE(ok(reply)) << describe(failure(reply));
    EXPECT_EQ(value(reply).body(), "hello");
}

TEST(http_call, wrong_token_fails_as_not_run)
{
    test_server server;
    http_channel link(server.loop, server.http_address);
    const auto reply =
        call_and_wait<target::v1::CallReply>(link, call_path, request_with("x"), with_token("wrong!"));
    ASSERT_FALSE(ok(reply));
    EXPECT_EQ(failure(reply).code, error_code::unauthenticated);
    EXPECT_EQ(failure(reply).ran, run_state::not_run);
}

TEST(http_call, error_keeps_code_run_state_and_retry_after)
{
    test_server server;
    http_channel link(server.loop, server.http_address);
    const auto reply =
        call_and_wait<target::v1::CallReply>(link, call_path, request_with("fail"), with_token("secret"));
    ASSERT_FALSE(ok(reply));
    EXPECT_EQ(failure(reply).code, error_code::overloaded);
    EXPECT_EQ(failure(reply).ran, run_state::not_run);
    EXPECT_EQ(failure(reply).retry_after, milliseconds{250});
}

TEST(http_call, refused_connection_fails_as_not_run)
{
    event_loop loop;
    http_channel link(loop, "127.0.0.1:1");
    const auto reply = call_and_wait<target::v1::CallReply>(link, call_path, request_with("x"), {});
    ASSERT_FALSE(ok(reply));
    EXPECT_EQ(failure(reply).ran, run_state::not_run);
}

struct collected {
    std::vector<int> sequences;
    result<done> outcome = done{};
};

collected collect(channel& link, const std::string& prompt, int count)
{
    target::v1::GenerateRequest request;
    request.set_prompt(prompt);
    request.set_max_tokens(count);
    collected seen;
    std::promise<void> finished;
    stream<target::v1::GenerateChunk>(
        link, method<target::v1::Engine>("Generate"), request, {},
        [&seen](const target::v1::GenerateChunk& chunk) { seen.sequences.push_back(chunk.sequence()); },
        [&](const result<done>& outcome) {
            seen.outcome = outcome;
            finished.set_value();
        });
    finished.get_future().wait();
    return seen;
}

class streamed_response : public testing::TestWithParam<codec> {};

TEST_P(streamed_response, arrives_complete_and_in_order)
{
    test_server server;
    http_channel link(server.loop, server.http_address, GetParam());
    const auto seen = collect(link, "go", 50);
    ASSERT_TRUE(ok(seen.outcome)) << describe(failure(seen.outcome));
    ASSERT_EQ(seen.sequences.size(), 50U);
    EXPECT_EQ(seen.sequences.back(), 49);
}

TEST_P(streamed_response, failed_stream_ends_with_error)
{
    test_server server;
    http_channel link(server.loop, server.http_address, GetParam());
    const auto seen = collect(link, "break", 3);
    EXPECT_EQ(seen.sequences.size(), 3U);
    ASSERT_FALSE(ok(seen.outcome));
    EXPECT_EQ(failure(seen.outcome).code, error_code::unavailable);
    EXPECT_EQ(failure(seen.outcome).ran, run_state::ran);
}

INSTANTIATE_TEST_SUITE_P(both_codecs, streamed_response, testing::Values(codec::json, codec::protobuf));

TEST(peer_call, concurrent_calls_get_their_own_responses)
{
    test_server server;
    peer_channel link(server.loop, server.peer_address);
    constexpr int count = 200;
    std::vector<std::promise<std::string>> answers(count);
    for (int index = 0; index < count; ++index) {
        call<target::v1::CallReply>(link, call_path, request_with(std::to_string(index)),
                                    with_token("secret"),
                                    [&answers, index](result<target::v1::CallReply> reply) {
                                        answers[index].set_value(ok(reply) ? value(reply).body() : "failed");
                                    });
    }
    for (int index = 0; index < count; ++index) {
        EXPECT_EQ(answers[index].get_future().get(), std::to_string(index));
    }
}

// A stall is found by the tests of large_message; the times allowed here are long enough for a slow machine.
TEST(peer_call, large_message_arrives_complete)
{
    constexpr seconds slow_machine{60};
    test_server server;
    peer_timing timing;
    timing.connect_timeout = slow_machine;
    timing.keepalive_timeout = slow_machine;
    peer_channel link(server.loop, server.peer_address, timing);
    std::string large(9U << 20U, 'x');
    for (std::size_t index = 0; index < large.size(); index += 1000) {
        large[index] = static_cast<char>('a' + index % 26);
    }
    auto options = with_token("secret");
    options.timeout = slow_machine;
    const auto reply = call_and_wait<target::v1::CallReply>(link, call_path, request_with(large), options);
    ASSERT_TRUE(ok(reply)) << describe(failure(reply));
    EXPECT_TRUE(value(reply).body() == large);
}

TEST(peer_call, unreachable_peer_fails_as_not_run)
{
    event_loop loop;
    peer_channel link(loop, "127.0.0.1:1");
    const auto reply = call_and_wait<target::v1::CallReply>(link, call_path, request_with("x"), {});
    ASSERT_FALSE(ok(reply));
    EXPECT_EQ(failure(reply).ran, run_state::not_run);
}

TEST(peer_call, error_keeps_code)
{
    test_server server;
    peer_channel link(server.loop, server.peer_address);
    const auto reply =
        call_and_wait<target::v1::CallReply>(link, call_path, request_with("fail"), with_token("secret"));
    ASSERT_FALSE(ok(reply));
    EXPECT_EQ(failure(reply).code, error_code::overloaded);
}

/// Writes until the client has disconnected.
class endless_engine final : public target::v1::Engine {
public:
    ~endless_engine() override { thread_.join(); }

    void Generate(google::protobuf::RpcController* control, const target::v1::GenerateRequest* /*request*/,
                  target::v1::GenerateChunk* /*unused*/, google::protobuf::Closure* done) override
    {
        thread_ = std::thread([control, done] {
            target::v1::GenerateChunk chunk;
            chunk.set_text(std::string(1000, 'x'));
            while (!control->IsCanceled()) {
                controller_of(control).write(chunk);
                std::this_thread::sleep_for(milliseconds{1});
            }
            done->Run();
        });
    }

private:
    std::thread thread_;
};

// Guards against a handler that streams on after its client has disconnected; the test would then not end.
TEST(http_call, stream_is_cancelled_on_client_disconnect)
{
    event_loop loop;
    endless_engine engine;
    dispatcher calls{access_table{}};
    calls.mount(engine, role::anyone);
    http_server http(calls, {});
    const auto address = value(http.open("127.0.0.1:0"));
    http_channel link(loop, address);
    std::promise<void> first;
    std::promise<void> ended;
    std::atomic<int> chunks{0};
    const auto cancel = stream<target::v1::GenerateChunk>(
        link, method<target::v1::Engine>("Generate"), target::v1::GenerateRequest{}, {},
        [&](const target::v1::GenerateChunk&) {
            if (chunks++ == 0) {
                first.set_value();
            }
        },
        [&](const result<done>&) { ended.set_value(); });
    first.get_future().wait();
    cancel();
    ended.get_future().wait();
    http.close();
    EXPECT_GT(chunks, 0);
}

// Guards against a progress timer that keeps the buffers of an ended stream until it fires.
TEST(http_call, ended_stream_is_released_before_progress_timeout)
{
    test_server server;
    http_channel link(server.loop, server.http_address);
    auto held = std::make_shared<int>(0);
    const std::weak_ptr<int> watched = held;
    std::promise<void> ended;
    target::v1::GenerateRequest request;
    request.set_max_tokens(3);
    call_options options;
    options.timeout = seconds{600};
    options.progress_timeout = seconds{600};
    stream<target::v1::GenerateChunk>(
        link, method<target::v1::Engine>("Generate"), request, options,
        [held = std::move(held)](const target::v1::GenerateChunk&) { ++*held; },
        [&ended](const result<done>&) { ended.set_value(); });
    ended.get_future().wait();
    for (int round = 0; round < 1000 && !watched.expired(); ++round) {
        std::this_thread::sleep_for(milliseconds{5});
    }
    EXPECT_TRUE(watched.expired());
}

} // namespace
} // namespace vanillagauge::wire
