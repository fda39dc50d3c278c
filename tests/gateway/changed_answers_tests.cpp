#include "../drawn_bytes.hpp"
#include "batch_deployment.hpp"

#include <gtest/gtest.h>

#include <array>
#include <atomic>
#include <list>
#include <mutex>
#include <random>
#include <thread>

namespace vanillagauge::gateway {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

constexpr int plain_requests = 150;
constexpr int streams = 40;
constexpr int callers = 8;
constexpr int max_changes = 3;

/// Passes connections on to a replica, and changes a few bytes at drawn places of what the replica answers.
class changing_proxy {
public:
    changing_proxy(const std::string& replica, std::uint64_t seed)
        : replica_(tcp_endpoint(replica)), acceptor_(context_, {asio::ip::address_v4::loopback(), 0}),
          random_(seed)
    {
        thread_ = std::thread([this] { accept(); });
    }
    ~changing_proxy()
    {
        stopping_ = true;
        tcp::socket unblock(context_);
        unblock.connect(acceptor_.local_endpoint());
        thread_.join();
        close_all();
        for (auto& passed : passed_) {
            passed.to_replica.join();
            passed.to_gateway.join();
        }
    }
    changing_proxy(const changing_proxy&) = delete;
    changing_proxy& operator=(const changing_proxy&) = delete;

    std::string address() const { return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port()); }
    /// From now on passes answers on as they are.
    void stop_changing() { changing_ = false; }

private:
    struct passed_connection {
        tcp::socket gateway;
        tcp::socket replica;
        std::thread to_replica;
        std::thread to_gateway;
    };

    asio::io_context context_;
    tcp::endpoint replica_;
    tcp::acceptor acceptor_;
    std::mutex mutex_;
    std::mt19937_64 random_;
    std::atomic<bool> changing_{true};
    std::atomic<bool> stopping_{false};
    std::list<passed_connection> passed_; ///< of `thread_`, then of the destructor
    std::thread thread_;

    void accept()
    {
        while (true) {
            auto accepted = acceptor_.accept();
            if (stopping_) {
                return;
            }
            tcp::socket upstream(context_);
            boost::system::error_code failed;
            upstream.connect(replica_, failed);
            if (failed) {
                continue;
            }
            auto& passed =
                passed_.emplace_back(passed_connection{std::move(accepted), std::move(upstream), {}, {}});
            passed.to_replica = std::thread([this, &passed] { pass(passed.gateway, passed.replica, false); });
            passed.to_gateway = std::thread([this, &passed] { pass(passed.replica, passed.gateway, true); });
        }
    }

    void pass(tcp::socket& from, tcp::socket& to, bool changes)
    {
        std::array<char, 8192> buffer{};
        boost::system::error_code ended;
        while (true) {
            const auto size = from.read_some(asio::buffer(buffer), ended);
            if (ended) {
                break;
            }
            std::string bytes(buffer.data(), size);
            if (changes && changing_) {
                bytes = changed(std::move(bytes));
            }
            asio::write(to, asio::buffer(bytes), ended);
            if (ended) {
                break;
            }
        }
        shut_down(from);
        shut_down(to);
    }

    std::string changed(std::string text)
    {
        const std::lock_guard lock(mutex_);
        const auto changes = random_() % (max_changes + 1);
        return with_changes(std::move(text), changes, random_);
    }

    static void shut_down(tcp::socket& socket) { ::shutdown(socket.native_handle(), SHUT_RDWR); }

    void close_all()
    {
        for (auto& passed : passed_) {
            shut_down(passed.gateway);
            shut_down(passed.replica);
        }
    }
};

/// Registers the replica at another address.
void move_replica(deployment& all, standins::fake_replica& replica, const std::string& service,
                  const std::string& address)
{
    auto entry = replica.entry(service, service == "lm" ? "m" : "", "ready");
    entry["Address"] = address;
    all.modify_store(
        [&](standins::fake_store& store) { store.put("servers", replica.id(), std::move(entry)); });
}

// Guards against any answer of a replica that ends a gateway or stays with it. `--gtest_shuffle
// --gtest_random_seed=N` draws others.
TEST(changed_answers, end_no_gateway)
{
    batch_deployment all;
    auto& plain = all.add_replica("s1", "plain");
    changing_proxy plain_proxy(plain.address(), drawn_seed());
    changing_proxy one_proxy(all.one.address(), drawn_seed() + 1);
    changing_proxy two_proxy(all.two.address(), drawn_seed() + 2);
    move_replica(all, plain, "plain", plain_proxy.address());
    move_replica(all, all.one, "lm", one_proxy.address());
    move_replica(all, all.two, "lm", two_proxy.address());
    auto& served = all.ready_gateway("a");
    EXPECT_EQ(all.status_of(served.address(), make_batch("b1")), 202);
    std::vector<std::future<void>> running;
    running.reserve(callers);
    for (int caller = 0; caller < callers; ++caller) {
        running.push_back(std::async(std::launch::async, [&all, &served, caller] {
            for (int turn = caller; turn < plain_requests; turn += callers) {
                all.status_of(served.address(), make_request("/safe/1", "p" + std::to_string(turn)));
            }
            for (int turn = caller; turn < streams; turn += callers) {
                all.status_of(served.address(), make_stream_request("s" + std::to_string(turn)));
            }
        }));
    }
    running.clear();
    for (auto* proxy : {&plain_proxy, &one_proxy, &two_proxy}) {
        proxy->stop_changing();
    }
    EXPECT_TRUE(deployment::eventually(
        [&] { return all.status_of(served.address(), make_request("/safe/1", "last")) == 200; }));
    EXPECT_EQ(all.read_all({served.address()}, "b1").size(), item_count);
    EXPECT_EQ(all.status_of(served.address(), make_batch("b2")), 202);
    expect_complete(all.read_all({served.address()}, "b2"));
}

} // namespace
} // namespace vanillagauge::gateway
