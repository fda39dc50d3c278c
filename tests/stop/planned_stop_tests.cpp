#include "stop_client.hpp"

#include "tests/gateway/deployment.hpp"

#include <gtest/gtest.h>

#include <atomic>
#include <mutex>
#include <thread>

namespace vanillagauge::gateway {
namespace {

using tests::sent_request;
using tests::stop_client;

/// A connection closed without a response counts as a loss if it was open longer than this after the request.
constexpr milliseconds loss_slack{200};
/// From SIGTERM to SIGKILL.
constexpr milliseconds stop_grace{6000};
constexpr milliseconds short_grace{1800};
constexpr milliseconds work_time{150};
/// Time for all callers to connect and get a first response.
constexpr milliseconds all_connected{3000};

/// One gateway with one replica, and the outcomes of its callers' requests.
class stopping_gateway : public testing::Test {
protected:
    deployment world;
    standins::fake_replica& replica = world.add_replica("r1", "plain");
    std::unique_ptr<running_gateway> served = start(stop_grace);
    std::string address = served->address();
    std::atomic<bool> ended{false};

    void SetUp() override
    {
        ASSERT_TRUE(deployment::eventually([this] {
            return served->ready() && world.status_of(address, make_request("/safe/warm", "warm")) == 200;
        }));
        world.modify_store([this](standins::fake_store&) { replica.work_time = work_time; });
    }

    /// Stops and destroys the gateway, as the program does.
    void stop()
    {
        served->stop();
        served.reset();
        ended = true;
    }

    std::unique_ptr<running_gateway> start(milliseconds grace)
    {
        auto settings = make_settings("a", world.store_address(), {});
        settings.gateway.stop_grace = grace;
        return std::make_unique<running_gateway>(std::move(settings));
    }

    void note(sent_request request)
    {
        const std::lock_guard lock(mutex_);
        seen_.push_back(std::move(request));
    }

    bool ran(const std::string& id)
    {
        return world.inspect_store<bool>([&](standins::fake_store&) {
            return std::any_of(replica.started_requests.begin(), replica.started_requests.end(),
                               [&](const auto& run) { return run.attempt_id == id; });
        });
    }

    /// Requests without a response that ran, or whose connection was open longer than `loss_slack`.
    std::vector<std::string> unanswered()
    {
        std::vector<std::string> found;
        for (const auto& request : seen_) {
            const bool cut = request.sent && request.status == 0;
            if (cut && (request.waited > loss_slack || ran(request.id))) {
                found.push_back(request.id);
            }
        }
        return found;
    }
    /// Requests that were refused as not run but ran.
    std::vector<std::string> falsely_refused()
    {
        std::vector<std::string> found;
        for (const auto& request : seen_) {
            if (request.status == 503 && ran(request.id)) {
                found.push_back(request.id);
            }
        }
        return found;
    }
    std::size_t answered() const
    {
        return static_cast<std::size_t>(std::count_if(
            seen_.begin(), seen_.end(), [](const auto& request) { return request.status == 200; }));
    }
    /// Requests refused because of the stop, not of load.
    std::size_t refused_for_the_stop() const
    {
        return static_cast<std::size_t>(std::count_if(seen_.begin(), seen_.end(), [](const auto& request) {
            return request.status == 503 && request.body.find("the gateway stops") != std::string::npos;
        }));
    }

    /// Starts callers that open a new connection for each request until the gateway has ended.
    std::vector<std::thread> call_on_new_connections(int callers, milliseconds pause)
    {
        std::vector<std::thread> threads;
        threads.reserve(static_cast<std::size_t>(callers));
        for (int caller = 0; caller < callers; ++caller) {
            threads.emplace_back([this, caller, pause] {
                for (int turn = 0; !ended; ++turn) {
                    stop_client client(address);
                    if (client.connected()) {
                        note(client.send("/safe/x",
                                         "c" + std::to_string(caller) + "-" + std::to_string(turn)));
                    }
                    std::this_thread::sleep_for(pause);
                }
            });
        }
        return threads;
    }

private:
    std::mutex mutex_;
    std::vector<sent_request> seen_;
};

using request_cut_at_planned_stop = stopping_gateway;

// Guards against accepting requests until the process ends, which loses them.
TEST_F(request_cut_at_planned_stop, on_a_new_connection_under_load)
{
    auto callers = call_on_new_connections(6, milliseconds(1));
    stop();
    for (auto& caller : callers) {
        caller.join();
    }
    EXPECT_EQ(unanswered(), std::vector<std::string>{});
    EXPECT_EQ(falsely_refused(), std::vector<std::string>{});
    EXPECT_GT(answered(), 20U);
    EXPECT_EQ(refused_for_the_stop(), 0U);
}

// Guards against reading a request from a kept connection just before the process ends.
TEST_F(request_cut_at_planned_stop, on_a_kept_connection)
{
    constexpr int connections = 130;
    constexpr milliseconds apart{40};

    std::vector<std::thread> callers;
    callers.reserve(connections);
    const auto began = steady::now();
    for (int caller = 0; caller < connections; ++caller) {
        callers.emplace_back([this, caller, began, apart] {
            stop_client client(address);
            if (caller % 2 == 0) {
                note(client.send("/safe/x", "k-early-" + std::to_string(caller)));
            }
            std::this_thread::sleep_until(began + all_connected + caller * apart);
            note(client.send("/safe/x", "k" + std::to_string(caller)));
        });
    }
    std::this_thread::sleep_for(all_connected);
    stop();
    for (auto& caller : callers) {
        caller.join();
    }
    EXPECT_EQ(unanswered(), std::vector<std::string>{});
    EXPECT_EQ(falsely_refused(), std::vector<std::string>{});
    EXPECT_GT(answered(), 20U);
    EXPECT_EQ(refused_for_the_stop(), 0U);
}

// Guards against a request still in flight at its replica when the process ends.
TEST_F(request_cut_at_planned_stop, while_its_replica_is_silent)
{
    served = start(short_grace);
    address = served->address();
    ASSERT_TRUE(deployment::eventually([this] {
        return served->ready() && world.status_of(address, make_request("/safe/x", "warm-2")) == 200;
    }));
    world.modify_store([this](standins::fake_store&) { replica.script = {standins::replica_fault::silent}; });
    std::thread caller([this] {
        stop_client client(address);
        note(client.send("/once/x", "silent"));
    });
    ASSERT_TRUE(deployment::eventually([this] { return ran("silent"); }));
    stop();
    caller.join();
    EXPECT_EQ(unanswered(), std::vector<std::string>{});
    EXPECT_EQ(falsely_refused(), std::vector<std::string>{});
}

using connection_held_by_ended_gateway = stopping_gateway;

// Guards against connections accepted by the kernel for a process that no longer serves.
TEST_F(connection_held_by_ended_gateway, is_refused_or_served)
{
    world.modify_store([this](standins::fake_store&) { replica.work_time = milliseconds(0); });
    auto callers = call_on_new_connections(2, milliseconds(20));
    stop();
    for (auto& caller : callers) {
        caller.join();
    }
    EXPECT_EQ(unanswered(), std::vector<std::string>{});
}

} // namespace
} // namespace vanillagauge::gateway
