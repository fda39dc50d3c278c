#include "platform/platform_store.hpp"
#include "standins/users/fake_store.hpp"
#include "wire/event_loop.hpp"

#include <boost/asio/io_context.hpp>
#include <gtest/gtest.h>

#include <functional>
#include <future>
#include <memory>
#include <optional>
#include <thread>

namespace vanillagauge::platform {
namespace {

constexpr const char* kind = "things";
constexpr std::uint64_t far_revision = 1000;
constexpr milliseconds watch_time{300};

/// Two stores, and a client that moves from the old to the new one.
class store_move : public testing::Test {
protected:
    wire::event_loop loop;
    standins::fake_store old_store{loop.context()};
    standins::fake_store new_store{loop.context()};
    std::string new_address;
    std::optional<platform_store> moved;

    void SetUp() override
    {
        const auto first = old_store.open();
        const auto second = new_store.open();
        ASSERT_TRUE(ok(first) && ok(second));
        new_address = value(second);
        moved.emplace(loop.context(), value(first));
    }
    void TearDown() override { loop.stop(); }

    template <class Answer>
    std::future<Answer> start(std::function<net::task<Answer>()> work)
    {
        auto promise = std::make_shared<std::promise<Answer>>();
        auto answer = promise->get_future();
        net::start(loop.context(), keep(std::move(work), std::move(promise)));
        return answer;
    }

private:
    template <class Answer>
    static net::task<void> keep(std::function<net::task<Answer>()> work,
                                std::shared_ptr<std::promise<Answer>> promise)
    {
        promise->set_value(co_await work());
    }
};

// Guards against reusing a connection to the old store after a call that outlasted the move.
TEST_F(store_move, does_not_reuse_connection_to_old_store)
{
    loop.run_and_wait([this] { new_store.put(kind, "x", {{"at", "after"}}); });
    auto watched = start<result<gateway::object_changes>>(
        [this] { return moved->watch(kind, far_revision, watch_time); });
    std::this_thread::sleep_for(watch_time / 3); // the watch is pending at the old store
    loop.run_and_wait([this] { moved->set_address(new_address); });
    watched.wait();
    const auto read = start<result<gateway::stored_object>>([this] { return moved->read(kind, "x"); }).get();
    ASSERT_TRUE(ok(read)) << describe(failure(read));
    EXPECT_EQ(value(read).value.at("at"), "after");
}

} // namespace
} // namespace vanillagauge::platform
