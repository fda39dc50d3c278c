#include "deployment.hpp"

#include <gtest/gtest.h>

#include <arpa/inet.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <future>
#include <set>

namespace vanillagauge::gateway {
namespace {

/// Limit from the store's acknowledgement that a replica leaves until the last request reaches it.
constexpr milliseconds max_drain_time{2000};

/// A watcher to which the store stopped responding has noticed it after this time.
constexpr milliseconds noticing_time{2000};

constexpr milliseconds request_interval{10};

/// Four gateways, of which three watch the store, and two replicas. The gateways with the indexes `cut` use
/// the store's second address.
struct cut_off_watchers : deployment {
    standins::fake_replica& staying = add_replica("r1", "plain");
    standins::fake_replica& leaving = add_replica("r2", "plain");
    std::vector<running_gateway*> connected;
    int sent = 0;

    explicit cut_off_watchers(const std::set<int>& cut)
    {
        int place = 0;
        for (const auto* vm : {"a", "b", "c", "d"}) {
            if (cut.contains(place++)) {
                add_gateway_at_second(vm);
            }
            else {
                connected.push_back(&add_gateway(vm));
            }
        }
        EXPECT_TRUE(eventually([this] {
            return std::all_of(gateways.begin(), gateways.end(), [](const auto& one) {
                return one->ready() && one->template query<bool>([](gateway& asked) {
                    return asked.addresses().front_addresses.size() == 4;
                });
            });
        }));
    }
    void cut_off()
    {
        modify_store([](standins::fake_store& store) { store.faults.second_silent = true; });
    }
    /// Removes the entry of the leaving replica, which never reported that it drains.
    time_point remove_leaving()
    {
        modify_store([](standins::fake_store& store) { store.remove("servers", "r2"); });
        return steady::now();
    }
    /// Sends requests in turn through the gateways that reach the store; returns how many failed.
    int send_until(time_point until)
    {
        int failed = 0;
        while (steady::now() < until) {
            auto& served = *connected[static_cast<std::size_t>(sent) % connected.size()];
            const auto id = "n" + std::to_string(++sent);
            failed += status_of(served.address(), make_request("/safe/1", id)) == 200 ? 0 : 1;
            std::this_thread::sleep_for(request_interval);
        }
        return failed;
    }
    std::size_t received_after(standins::fake_replica& replica, time_point limit)
    {
        return inspect_store<std::size_t>([&](standins::fake_store&) {
            return static_cast<std::size_t>(
                std::count_if(replica.started_requests.begin(), replica.started_requests.end(),
                              [limit](const auto& seen) { return seen.received_at > limit; }));
        });
    }
};

/// A replica whose queue of new connections is full, so that connecting to it takes a second.
class congested_listener {
public:
    congested_listener()
        : listener_(::socket(AF_INET, SOCK_STREAM, 0)), filler_(::socket(AF_INET, SOCK_STREAM, 0))
    {
        address_.sin_family = AF_INET;
        address_.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t size = sizeof(address_);
        EXPECT_EQ(::bind(listener_, as_socket_address(), size), 0);
        EXPECT_EQ(::listen(listener_, 0), 0);
        EXPECT_EQ(::getsockname(listener_, as_socket_address(), &size), 0);
        EXPECT_EQ(::connect(filler_, as_socket_address(), size), 0);
    }
    ~congested_listener()
    {
        ::close(filler_);
        ::close(listener_);
    }
    congested_listener(const congested_listener&) = delete;
    congested_listener& operator=(const congested_listener&) = delete;

    std::string address() const { return "127.0.0.1:" + std::to_string(ntohs(address_.sin_port)); }

    /// Accepts connections until `until`; returns how many of them carry a request.
    int count_requests(time_point until)
    {
        int requests = 0;
        while (steady::now() < until) {
            const auto accepted = accept_one(milliseconds(50));
            if (accepted >= 0) {
                requests += carries_bytes(accepted, milliseconds(500)) ? 1 : 0;
                ::close(accepted);
            }
        }
        return requests;
    }

private:
    int listener_;
    int filler_;
    sockaddr_in address_{};

    sockaddr* as_socket_address()
    {
        void* address = &address_;
        return static_cast<sockaddr*>(address);
    }
    static bool readable(int descriptor, milliseconds within)
    {
        pollfd waited{descriptor, POLLIN, 0};
        return ::poll(&waited, 1, static_cast<int>(within.count())) > 0;
    }
    int accept_one(milliseconds within) const
    {
        return readable(listener_, within) ? ::accept(listener_, nullptr, nullptr) : -1;
    }
    static bool carries_bytes(int descriptor, milliseconds within)
    {
        char byte = 0;
        return readable(descriptor, within) && ::recv(descriptor, &byte, 1, 0) > 0;
    }
};

// Guards against a request that is sent to a replica which has left while the request waited for a
// connection.
TEST(leaving_replicas, get_no_request_that_was_waiting_for_a_connection)
{
    congested_listener congested;
    deployment all;
    auto entry = all.add_replica("r1", "lm").entry("lm", "m", "ready");
    entry["Address"] = congested.address();
    all.modify_store([&](standins::fake_store& store) { store.put("servers", "r2", entry); });
    auto& served = all.add_gateway("a");
    ASSERT_TRUE(deployment::eventually([&] { return served.ready(); }));
    constexpr int streams = 8; // several of them go to each replica
    std::vector<std::future<int>> answers;
    answers.reserve(streams);
    for (int stream = 0; stream < streams; ++stream) {
        answers.push_back(std::async(std::launch::async, [&all, &served, stream] {
            return all.status_of(served.address(), make_stream_request("f" + std::to_string(stream)));
        }));
    }
    std::this_thread::sleep_for(milliseconds(100));
    entry["State"] = "draining";
    all.modify_store([&](standins::fake_store& store) { store.put("servers", "r2", entry); });
    std::this_thread::sleep_for(milliseconds(500)); // the gateway knows
    EXPECT_EQ(congested.count_requests(steady::now() + seconds(3)), 0);
    for (auto& answer : answers) {
        EXPECT_EQ(answer.get(), 200);
    }
}

// Guards against a failure on one gateway's way to the store that makes all others keep a replica that left.
TEST(leaving_replicas, get_nothing_late_when_a_watcher_is_cut_off_from_the_store)
{
    cut_off_watchers all({0, 1});
    all.cut_off();
    all.send_until(steady::now() + noticing_time);
    const auto removed_at = all.remove_leaving();
    all.send_until(removed_at + max_drain_time + milliseconds(1000));
    EXPECT_GT(all.received_after(all.staying, removed_at), 0U);
    EXPECT_EQ(all.received_after(all.leaving, removed_at + max_drain_time), 0U);
}

// Guards against a gateway that was held up and, before it reads what waits for it, sends requests to a
// replica that left meanwhile.
TEST(leaving_replicas, get_nothing_from_a_gateway_that_was_held_up)
{
    cut_off_watchers all({});
    std::vector<std::future<bool>> pauses;
    pauses.reserve(all.connected.size());
    for (auto* served : all.connected) {
        pauses.push_back(std::async(std::launch::async, [served] {
            return served->query<bool>([](gateway&) {
                std::this_thread::sleep_for(milliseconds(3000));
                return true;
            });
        }));
    }
    std::this_thread::sleep_for(milliseconds(100));
    const auto removed_at = all.remove_leaving();
    constexpr int requests = 8;
    std::vector<std::future<int>> answers;
    answers.reserve(requests);
    for (int turn = 0; turn < requests; ++turn) {
        answers.push_back(std::async(std::launch::async, [&all, turn] {
            auto& served = *all.connected[static_cast<std::size_t>(turn) % all.connected.size()];
            return all.status_of(served.address(), make_request("/safe/1", "h" + std::to_string(turn)));
        }));
    }
    for (auto& answer : answers) {
        EXPECT_EQ(answer.get(), 200);
    }
    EXPECT_EQ(all.received_after(all.leaving, removed_at + max_drain_time), 0U);
}

// Guards against refused requests after an outage in which the entries of living replicas expired.
TEST(leaving_replicas, are_told_from_those_whose_entries_expired_in_an_outage)
{
    constexpr milliseconds outage{2000};
    constexpr milliseconds renewal_time{1500};
    cut_off_watchers all({});
    all.modify_store([](standins::fake_store& store) { store.faults.refuse = true; });
    int failed = all.send_until(steady::now() + outage);
    all.modify_store([](standins::fake_store& store) {
        store.remove("servers", "r1");
        store.remove("servers", "r2");
        store.faults.refuse = false;
    });
    const auto back_at = steady::now();
    failed += all.send_until(back_at + renewal_time);
    all.put_replica(all.staying, "plain", "ready");
    failed += all.send_until(back_at + seconds(4));
    EXPECT_EQ(failed, 0);
    EXPECT_EQ(all.received_after(all.leaving, back_at + seconds(3)), 0U) << "its entry has not come back";
}

} // namespace
} // namespace vanillagauge::gateway
