#include "deployment.hpp"

#include "fleet/watchers.hpp"
#include "gateway/fleet_view.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <gtest/gtest.h>
#include <poll.h>

#include <algorithm>

namespace vanillagauge::gateway {
namespace {

/// Limit for a change to reach a gateway through another one: each has the time that a change may take.
constexpr milliseconds max_relayed_change_time{4000};

constexpr std::size_t watcher_count = 3;

/// A gateway that is alive for the others and accepts their connections, but never responds.
class silent_gateway {
public:
    explicit silent_gateway(const std::string& vm, const std::vector<std::string>& seeds)
        : acceptor_(context_, {boost::asio::ip::address_v4::loopback(), 0}),
          view_(loop_, make_settings(vm, "", seeds))
    {
        const auto port = std::to_string(acceptor_.local_endpoint().port());
        EXPECT_TRUE(ok(view_.open("127.0.0.1:" + port, "", [] {})));
        loop_.run_and_wait([] {}); // it has announced itself
    }
    ~silent_gateway()
    {
        view_.close();
        loop_.stop();
    }
    silent_gateway(const silent_gateway&) = delete;
    silent_gateway& operator=(const silent_gateway&) = delete;

    std::string peer_address() const { return view_.peer_address(); }
    /// Whether another gateway has connected to it.
    bool is_polled()
    {
        pollfd waited{acceptor_.native_handle(), POLLIN, 0};
        return ::poll(&waited, 1, 0) > 0;
    }

private:
    boost::asio::io_context context_;
    boost::asio::ip::tcp::acceptor acceptor_;
    wire::event_loop loop_;
    fleet_view view_;
};

/// All watchers of the store are silent; two gateways serve callers, the second of them uses the store's
/// second address.
struct silent_watchers : deployment {
    std::vector<std::unique_ptr<silent_gateway>> silent;
    standins::fake_replica& replica = add_replica("r1", "plain");

    silent_watchers()
    {
        std::vector<std::string> callers_vms{"a", "b", "c", "d", "e"};
        std::vector<fleet::member> members(callers_vms.size());
        for (std::size_t place = 0; place < members.size(); ++place) {
            members[place].info.vm = callers_vms[place];
            members[place].info.failure_domain = "z1";
        }
        std::vector<std::string> seeds;
        for (const auto& vm : fleet::choose_watchers(members, watcher_count)) {
            std::erase(callers_vms, vm);
            silent.push_back(std::make_unique<silent_gateway>(vm, seeds));
            seeds.push_back(silent.back()->peer_address());
        }
        add_gateway(callers_vms.front(), seeds);
        add_gateway_at_second(callers_vms.back(), seeds);
        EXPECT_TRUE(eventually([this] {
            return std::all_of(gateways.begin(), gateways.end(),
                               [](const auto& one) { return one->ready(); }) &&
                   std::all_of(silent.begin(), silent.end(),
                               [](const auto& one) { return one->is_polled(); });
        }));
    }
    running_gateway& cut_off() { return *gateways.back(); }
};

// Guards against a gateway that keeps its old copy while it is cut off from the store and from the gateways
// that watch it, though others in reach know better.
TEST(feed_sync, asks_any_gateway_if_the_store_and_all_watchers_are_lost)
{
    silent_watchers all;
    all.modify_store([](standins::fake_store& store) { store.faults.second_silent = true; });
    all.put_configuration(2);
    const auto changed_at = steady::now();
    int turn = 0;
    EXPECT_TRUE(deployment::eventually([&] {
        const auto id = "p" + std::to_string(++turn);
        return all.status_of(all.cut_off().address(), make_request("/added/1", id)) == 200;
    }));
    EXPECT_LT(steady::now() - changed_at, max_relayed_change_time);
}

} // namespace
} // namespace vanillagauge::gateway
