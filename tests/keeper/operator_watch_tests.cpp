#include "keeper/operator_watch.hpp"

#include <google/protobuf/stubs/callback.h>
#include <gtest/gtest.h>

#include <future>

namespace vanillagauge::keeper {
namespace {

/// A watch request and its reply.
struct watcher {
    v1::WatchReply reply;
    std::promise<void> answered;

    google::protobuf::Closure* done() { return google::protobuf::NewCallback(&watcher::set, this); }
    static void set(watcher* self) { self->answered.set_value(); }
    bool is_answered() { return answered_.wait_for(std::chrono::seconds{0}) == std::future_status::ready; }
    void wait() { answered_.wait(); }

private:
    std::future<void> answered_{answered.get_future()};
};

class operator_watch_test : public testing::Test {
protected:
    wire::event_loop loop;
    keeper_state state{fleet::node{}, steady::now()};
    operator_watch watches{state, loop};

    void change(const std::string& kind, std::uint64_t version)
    {
        state.merge_config({{kind, "a", version, "{}", false}}, config::object_source::store);
        watches.notify();
    }

    static v1::WatchRequest request(const std::string& kind, std::uint64_t since, milliseconds wait)
    {
        v1::WatchRequest asked;
        asked.set_kind(kind);
        asked.set_since_revision(since);
        asked.set_wait_ms(wait.count());
        return asked;
    }
};

constexpr milliseconds long_wait{20000};

TEST_F(operator_watch_test, ignores_changes_of_other_kinds)
{
    watcher jobs;
    watches.wait(request("job", state.config_revision(), long_wait), &jobs.reply, jobs.done());
    change("deployment", 1);
    EXPECT_FALSE(jobs.is_answered());
    change("job", 2);
    jobs.wait();
    ASSERT_EQ(jobs.reply.objects_size(), 1);
    EXPECT_EQ(jobs.reply.objects(0).kind(), "job");
    EXPECT_EQ(jobs.reply.revision(), state.config_revision());
}

TEST_F(operator_watch_test, replies_at_once_to_an_earlier_change)
{
    change("job", 1);
    watcher late;
    watches.wait(request("", 0, long_wait), &late.reply, late.done());
    EXPECT_TRUE(late.is_answered());
    EXPECT_EQ(late.reply.objects_size(), 1);
}

TEST_F(operator_watch_test, replies_empty_after_the_wait_time)
{
    watcher idle;
    watches.wait(request("", 0, milliseconds{10}), &idle.reply, idle.done());
    idle.wait();
    EXPECT_EQ(idle.reply.objects_size(), 0);
}

/// After a keeper restart, an operator's revision may be beyond the current one. Waiting for it would hide
/// every change until it is reached.
TEST_F(operator_watch_test, revision_of_another_process_returns_all_objects)
{
    change("job", 1);
    watcher other;
    watches.wait(request("", 1000, long_wait), &other.reply, other.done());
    EXPECT_TRUE(other.is_answered());
    EXPECT_EQ(other.reply.objects_size(), 1);
}

TEST_F(operator_watch_test, stop_answers_pending_and_later_requests)
{
    watcher before;
    watches.wait(request("", 0, long_wait), &before.reply, before.done());
    watches.stop();
    EXPECT_TRUE(before.is_answered());
    watcher after;
    watches.wait(request("", 0, long_wait), &after.reply, after.done());
    EXPECT_TRUE(after.is_answered());
}

} // namespace
} // namespace vanillagauge::keeper
