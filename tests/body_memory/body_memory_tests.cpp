// Large bodies at a gateway that is a process of its own: what it takes of its machine's memory.
#include "../odd_entries/gateways.hpp"
#include "net/http_client.hpp"
#include "standins/users/fake_store.hpp"

#include <boost/asio/io_context.hpp>
#include <gtest/gtest.h>

#include <algorithm>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <map>
#include <optional>
#include <string>

namespace vanillagauge {
namespace {

using nlohmann::json;
using odd_entries::gateways;

constexpr std::size_t megabyte = std::size_t{1} << 20U;
constexpr std::size_t clients = 8;
constexpr milliseconds poll_interval{20};
constexpr seconds patience{60};

/// A replica that takes a while for each request, and counts how often each one ran.
class counting_replica {
public:
    explicit counting_replica(net::loop& loop) : loop_(loop)
    {
        address_ = value(service_.open("127.0.0.1:0"));
    }

    json entry() const
    {
        return {{"Service", "first"},      {"Address", address_}, {"Zone", "z1"},
                {"Version", "v1"},         {"Slots", 16},         {"State", "ready"},
                {"Models", json::array()}, {"Sequence", 1}};
    }

    std::map<std::string, std::size_t> runs{};       ///< by id
    std::map<std::string, std::size_t> body_bytes{}; ///< by id, of the last run

private:
    static constexpr milliseconds work_time{100};

    net::loop& loop_;
    std::string address_;
    net::http_service service_{
        loop_, [] { return net::service_limits{}; },
        [this](const net::http_request& request, net::responder& answer) { return serve(request, answer); }};

    net::task<void> serve(const net::http_request& request, net::responder& answer)
    {
        const auto id = std::string(request.fields.find("Attempt-Id"));
        ++runs[id];
        body_bytes[id] = request.body.size();
        co_await net::sleep_for(loop_, work_time);
        net::http_response response;
        response.fields.add("Attempt-Id", id);
        response.fields.add("Server-Stamp", "stamp");
        response.fields.add("Replica-Load", "1,0,16");
        co_await answer.send(std::move(response));
    }
};

/// A folder for settings and logs, removed at its end.
class work_folder {
public:
    work_folder()
    {
        auto name = (std::filesystem::temp_directory_path() / "body-memory-XXXXXX").string();
        path = mkdtemp(name.data());
    }
    ~work_folder()
    {
        std::error_code ignored;
        std::filesystem::remove_all(path, ignored);
    }
    work_folder(const work_folder&) = delete;
    work_folder& operator=(const work_folder&) = delete;

    std::filesystem::path path;
};

/// The highest memory of a process so far, in bytes; 0 once it has ended.
std::size_t peak_memory(pid_t process)
{
    std::ifstream status("/proc/" + std::to_string(process) + "/status");
    for (std::string word; status >> word;) {
        std::size_t kilobytes = 0;
        if (word == "VmHWM:" && status >> kilobytes) {
            return kilobytes << 10U;
        }
    }
    return 0;
}

/// A gateway beside a store and one replica.
class play {
public:
    play(std::size_t memory_mb, std::size_t body_bytes)
        : body_(body_bytes, 'x'), store_(loop_), replica_(loop_),
          gateways_(
              VG_GATEWAY, folder_.path, 1, 0, value(store_.open()),
              [this](const odd_entries::gateway_place&, const std::string& text) { ends_ += text; },
              memory_mb)
    {
        store_.put("servers", "i-first", replica_.entry());
        put_configuration();
    }

    /// Sends the large requests at once, each again after every refusal, and small ones beside them.
    void run()
    {
        net::start(loop_, watch_process());
        wait_until_served();
        for (std::size_t number = 0; number < clients; ++number) {
            net::start(loop_, send_large("large-" + std::to_string(number)));
        }
        net::start(loop_, send_small());
        while (ended_ < clients || !small_ended_) {
            loop_.run_one();
        }
    }

    std::size_t served = 0;
    std::size_t refused = 0;
    std::size_t without_promise = 0;
    std::size_t small_sent = 0;
    std::size_t small_served = 0;
    std::size_t peak = 0;
    std::string& ends() { return ends_; }
    const counting_replica& replica() const { return replica_; }

private:
    work_folder folder_;
    net::loop loop_;
    std::string body_;
    std::string ends_;
    std::size_t ended_ = 0;
    bool serves_ = false;
    bool small_ended_ = false;
    standins::fake_store store_;
    counting_replica replica_;
    gateways gateways_;

    void put_configuration()
    {
        json whole{{"Version", 7}};
        whole["Routes"].push_back({{"Name", "r-first"},
                                   {"Host", "h"},
                                   {"PathPrefix", "/first/"},
                                   {"Kind", "unsafe"},
                                   {"Attempts", 1},
                                   {"Service", "first"},
                                   {"TimeoutMs", 30000},
                                   {"Priority", 2},
                                   {"TargetLatencyMs", 5000}});
        whole["Services"].push_back({{"Name", "first"}, {"HealthPath", "/health"}, {"MaxConnections", 100}});
        whole["Limits"] = {{"MaxHeaderBytes", 16384},
                           {"MaxBodyBytes", 33554432},
                           {"HeaderTimeoutMs", 3000},
                           {"IdleTimeoutMs", 15000}};
        store_.put("config", "main", std::move(whole));
    }

    net::task<void> watch_process()
    {
        while (true) {
            gateways_.check();
            peak = std::max(peak, peak_memory(gateways_.places().front().process));
            co_await net::sleep_for(loop_, poll_interval);
        }
    }

    void wait_until_served()
    {
        net::start(loop_, ask_until_served());
        while (!serves_) {
            loop_.run_one();
        }
    }

    net::task<void> ask_until_served()
    {
        for (std::size_t count = 0; !serves_; ++count) {
            const auto answer = co_await ask("start-" + std::to_string(count), {});
            serves_ = answer && answer->status == 200;
            co_await net::sleep_for(loop_, poll_interval);
        }
    }

    net::task<std::optional<net::http_response>> ask(std::string id, std::string_view body)
    {
        net::http_request head;
        head.method = "POST";
        head.target = "/first/run";
        head.fields.add("Host", "h");
        head.fields.add("Attempt-Id", id);
        head.fields.add("Deadline-Ms", "30000");
        const auto until = steady::now() + patience;
        net::http_connection connection(loop_);
        const auto connected = co_await connection.connect(gateways_.places().front().front, until);
        if (std::holds_alternative<net::http_failure>(connected)) {
            co_return std::nullopt;
        }
        // A refusal may come, and the connection end, before the body is sent.
        co_await connection.send(head, body, until);
        auto read = co_await connection.read_head(until);
        if (std::holds_alternative<net::http_failure>(read)) {
            co_return std::nullopt;
        }
        auto& found = std::get<net::response_head>(read);
        co_return net::http_response{found.status, std::move(found.fields), {}};
    }

    net::task<void> send_large(std::string id)
    {
        const auto until = steady::now() + patience;
        bool done = false;
        while (!done && steady::now() < until) {
            const auto answer = co_await ask(id, body_);
            if (answer && answer->status == 503 && answer->fields.contains("Retry-After")) {
                ++refused;
                const auto wait = std::stod(std::string(answer->fields.find("Retry-After")));
                co_await net::sleep_for(loop_, milliseconds{static_cast<std::int64_t>(wait * 1000)});
                continue;
            }
            done = true;
            ++(answer && answer->status == 200 ? served : without_promise);
        }
        ++ended_;
    }

    net::task<void> send_small()
    {
        while (ended_ < clients) {
            ++small_sent;
            const auto answer = co_await ask("small-" + std::to_string(small_sent), "small");
            small_served += answer && answer->status == 200 ? 1 : 0;
        }
        small_ended_ = true;
    }
};

struct memory_case {
    std::size_t memory_mb;
    std::size_t body_mb;
};

class large_bodies_at_once : public testing::TestWithParam<memory_case> {};

TEST_P(large_bodies_at_once, stay_within_the_memory_and_are_all_served)
{
    play played(GetParam().memory_mb, GetParam().body_mb * megabyte);
    played.run();
    RecordProperty("peak_mb", std::to_string(played.peak / megabyte));
    std::cout << "peak " << played.peak / megabyte << " MB, " << played.refused << " refusals, small "
              << played.small_served << " of " << played.small_sent << std::endl;
    EXPECT_LT(played.peak, GetParam().memory_mb * megabyte);
    EXPECT_EQ(played.served, clients);
    EXPECT_EQ(played.without_promise, 0U);
    EXPECT_EQ(played.small_served, played.small_sent);
    EXPECT_EQ(played.ends(), "");
    for (std::size_t number = 0; number < clients; ++number) {
        const auto id = "large-" + std::to_string(number);
        EXPECT_EQ(played.replica().runs.at(id), 1U) << id;
        EXPECT_EQ(played.replica().body_bytes.at(id), GetParam().body_mb * megabyte) << id;
    }
}

INSTANTIATE_TEST_SUITE_P(gateway, large_bodies_at_once,
                         testing::Values(memory_case{260, 32}, memory_case{110, 32}, memory_case{110, 16},
                                         memory_case{260, 4}),
                         [](const testing::TestParamInfo<memory_case>& played) {
                             return std::to_string(played.param.body_mb) + "_mb_within_" +
                                    std::to_string(played.param.memory_mb) + "_mb";
                         });

} // namespace
} // namespace vanillagauge
