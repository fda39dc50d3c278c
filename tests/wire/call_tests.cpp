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

TEST(http_call, the_answer_belongs_to_the_request)
{
    test_server server;
    http_channel link(server.loop, server.http_address);
    const auto reply =
        call_and_wait<target::v1::CallReply>(link, call_path, request_with("hello"), with_token("secret"));
    ASSERT_TRUE(ok(reply)) << describe(failure(reply));
    EXPECT_EQ(value(reply).body(), "hello");
}

TEST(http_call, a_wrong_token_is_refused_as_not_run)
{
    test_server server;
    http_channel link(server.loop, server.http_address);
    const auto reply =
        call_and_wait<target::v1::CallReply>(link, call_path, request_with("x"), with_token("wrong!"));
    ASSERT_FALSE(ok(reply));
    EXPECT_EQ(failure(reply).code, error_code::unauthenticated);
    EXPECT_EQ(failure(reply).ran, run_state::not_run);
}

TEST(http_call, a_typed_error_keeps_its_code_run_state_and_advice)
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

TEST(http_call, a_refused_connection_is_known_not_to_have_run)
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

class streamed_answer : public testing::TestWithParam<codec> {};

TEST_P(streamed_answer, arrives_whole_and_in_order)
{
    test_server server;
    http_channel link(server.loop, server.http_address, GetParam());
    const auto seen = collect(link, "go", 50);
    ASSERT_TRUE(ok(seen.outcome)) << describe(failure(seen.outcome));
    ASSERT_EQ(seen.sequences.size(), 50U);
    EXPECT_EQ(seen.sequences.back(), 49);
}

TEST_P(streamed_answer, that_breaks_off_ends_with_the_typed_error)
{
    test_server server;
    http_channel link(server.loop, server.http_address, GetParam());
    const auto seen = collect(link, "break", 3);
    EXPECT_EQ(seen.sequences.size(), 3U);
    ASSERT_FALSE(ok(seen.outcome));
    EXPECT_EQ(failure(seen.outcome).code, error_code::unavailable);
    EXPECT_EQ(failure(seen.outcome).ran, run_state::ran);
}

INSTANTIATE_TEST_SUITE_P(both_codecs, streamed_answer, testing::Values(codec::json, codec::protobuf));

TEST(peer_call, many_calls_share_one_connection_and_keep_their_answers)
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

TEST(peer_call, a_large_message_arrives_whole)
{
    test_server server;
    peer_channel link(server.loop, server.peer_address);
    const std::string large(9U << 20U, 'x');
    const auto reply =
        call_and_wait<target::v1::CallReply>(link, call_path, request_with(large), with_token("secret"));
    ASSERT_TRUE(ok(reply)) << describe(failure(reply));
    EXPECT_EQ(value(reply).body().size(), large.size());
}

TEST(peer_call, a_dead_peer_is_known_not_to_have_run_the_call)
{
    event_loop loop;
    peer_channel link(loop, "127.0.0.1:1");
    const auto reply = call_and_wait<target::v1::CallReply>(link, call_path, request_with("x"), {});
    ASSERT_FALSE(ok(reply));
    EXPECT_EQ(failure(reply).ran, run_state::not_run);
}

TEST(peer_call, a_typed_error_keeps_its_code)
{
    test_server server;
    peer_channel link(server.loop, server.peer_address);
    const auto reply =
        call_and_wait<target::v1::CallReply>(link, call_path, request_with("fail"), with_token("secret"));
    ASSERT_FALSE(ok(reply));
    EXPECT_EQ(failure(reply).code, error_code::overloaded);
}

/// Writes until it learns that its client has gone.
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

// A caller hangs up in the middle of a stream. Its engine would work on to the last token for nobody; the
// handler is told, so that it can stop. The test ends only because it is.
TEST(http_call, a_stream_whose_client_has_gone_is_cancelled)
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

// Thousands of short streams run in a step, each watched for silence by a timer of some seconds. A timer that
// kept its ended call would keep the buffers too: with 2,048 samples a step the process held 200 MB in place
// of 70.
TEST(http_call, an_ended_stream_is_let_go_before_its_progress_timer_fires)
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
