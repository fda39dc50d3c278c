#include "entry/plain_call.hpp"

#include "wire/wire.hpp"

#include <gtest/gtest.h>

#include <future>

namespace vanillagauge::entry {
namespace {

enum class behaviour { answers, silent, refuses, fails };

/// A service on a real socket that answers, refuses without running, fails after running, or never answers.
class scripted_target final : public target::v1::PlainService {
public:
    explicit scripted_target(behaviour mode) : mode_(mode)
    {
        calls_.mount(*this, wire::role::anyone);
        address_ = value(http_.open("127.0.0.1:0"));
    }

    ~scripted_target() override
    {
        std::vector<google::protobuf::Closure*> waiting;
        {
            const std::lock_guard lock(mutex_);
            waiting.swap(silent_);
        }
        for (auto* closure : waiting) {
            closure->Run();
        }
        http_.close();
    }

    void Call(google::protobuf::RpcController* control, const target::v1::CallRequest* request,
              target::v1::CallReply* reply, google::protobuf::Closure* done) override
    {
        ++call_count_;
        if (mode_ == behaviour::silent) {
            const std::lock_guard lock(mutex_);
            silent_.push_back(done);
            return;
        }
        if (mode_ == behaviour::refuses) {
            wire::controller_of(control).fail(
                {error_code::unavailable, run_state::not_run, "the target refuses all calls"});
        }
        if (mode_ == behaviour::fails) {
            wire::controller_of(control).fail(
                {error_code::internal, run_state::in_doubt, "the reply was lost"});
        }
        reply->set_request_id(request->request_id());
        reply->set_body("body");
        reply->set_digest(digest("body"));
        done->Run();
    }

    const std::string& address() const { return address_; }
    int call_count() const { return call_count_; }

private:
    const behaviour mode_;
    std::atomic<int> call_count_{0};
    std::mutex mutex_;
    std::vector<google::protobuf::Closure*> silent_;
    wire::dispatcher calls_{wire::access_table{}};
    wire::http_server http_{calls_, {}};
    std::string address_;
};

/// The parts of an entry with scripted targets. The first target is in the entry's domain, so it is called
/// first.
struct entry_fixture {
    config::settings settings;
    std::list<scripted_target> targets;
    wire::event_loop loop;
    observe::metrics metrics;
    std::optional<node::keeper_link> keeper;
    node::channel_pool channels = node::http_channels(loop);
    node::target_directory directory{loop, {}};

    explicit entry_fixture(std::initializer_list<behaviour> modes)
    {
        settings.failure_domain = "near";
        settings.keeper.address = "127.0.0.1:1";
        keeper.emplace(loop, settings);
        std::string list;
        for (const auto mode : modes) {
            const auto& target = targets.emplace_back(mode);
            list += std::string(list.empty() ? "" : ",") + R"({"id":"t)" + std::to_string(targets.size()) +
                    R"(","address":")" + target.address() + R"(","failure_domain":")" +
                    (targets.size() == 1 ? "near" : "far") + R"("})";
        }
        node::view view;
        view.config.merge({"deployment", "app", 1, R"({"kind":"service","targets":[)" + list + "]}", false});
        directory.update(view);
    }

    ~entry_fixture() { loop.stop(); }

    result<v1::CallReply> call(bool idempotent, milliseconds deadline)
    {
        v1::CallRequest request;
        request.set_deployment("app");
        request.set_request_id("r-1");
        request.set_idempotent(idempotent);
        auto answered = std::make_shared<std::promise<result<v1::CallReply>>>();
        const entry_context context{settings, loop, *keeper, channels, directory, metrics, 1};
        std::make_shared<plain_call>(
            context, directory.find("app"), request, steady::now() + deadline, observe::trace_context{},
            [answered](result<v1::CallReply> outcome) { answered->set_value(std::move(outcome)); })
            ->start();
        return answered->get_future().get();
    }
};

// A target with an open connection never answers. The idempotent call is hedged to another target long before
// its deadline.
TEST(plain_call, hedges_idempotent_call_when_target_is_silent)
{
    entry_fixture entry({behaviour::silent, behaviour::answers});
    const auto reply = entry.call(true, seconds{60});
    ASSERT_TRUE(ok(reply)) << describe(failure(reply));
    EXPECT_EQ(value(reply).target(), "t2");
}

// A silent target may have run the call, so it must not be hedged or retried; the caller gets in_doubt.
TEST(plain_call, never_sends_non_idempotent_call_twice)
{
    entry_fixture entry({behaviour::silent, behaviour::answers});
    const auto reply = entry.call(false, milliseconds{1500});
    ASSERT_FALSE(ok(reply));
    EXPECT_EQ(failure(reply).ran, run_state::in_doubt);
    EXPECT_EQ(entry.targets.front().call_count(), 1);
    EXPECT_EQ(entry.targets.back().call_count(), 0);
}

TEST(plain_call, retries_non_idempotent_call_refused_as_not_run)
{
    entry_fixture entry({behaviour::refuses, behaviour::answers});
    const auto reply = entry.call(false, seconds{60});
    ASSERT_TRUE(ok(reply)) << describe(failure(reply));
    EXPECT_EQ(entry.targets.back().call_count(), 1);
}

// The first target may have run the call but its reply is lost; the second refuses it as not_run. The call
// stays in_doubt: the refusal covers the second attempt alone.
TEST(plain_call, refused_retry_keeps_in_doubt_of_first_attempt)
{
    entry_fixture entry({behaviour::fails, behaviour::refuses});
    const auto reply = entry.call(true, seconds{60});
    ASSERT_FALSE(ok(reply));
    EXPECT_EQ(failure(reply).ran, run_state::in_doubt);
    EXPECT_EQ(entry.targets.back().call_count(), 1);
}

TEST(plain_call, reports_not_run_when_every_target_refuses)
{
    entry_fixture entry({behaviour::refuses, behaviour::refuses});
    const auto reply = entry.call(true, seconds{60});
    ASSERT_FALSE(ok(reply));
    EXPECT_EQ(failure(reply).ran, run_state::not_run);
}

} // namespace
} // namespace vanillagauge::entry
