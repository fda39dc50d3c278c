/// One gateway as a process of its own, and a crowd of clients that do not behave at one of its addresses.
/// The process is to live, to stay within its memory and its descriptors, and to answer an ordinary request
/// both while the crowd stands and afterwards.
#include "../odd_entries/gateways.hpp"
#include "base/address.hpp"
#include "crowd.hpp"
#include "crowd_replica.hpp"
#include "net/http_client.hpp"
#include "standins/users/fake_store.hpp"

#include <sys/resource.h>

#include <algorithm>
#include <charconv>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <optional>
#include <sstream>
#include <stdexcept>

namespace {

using namespace vanillagauge;
using namespace vanillagauge::client_crowds;
using nlohmann::json;
using odd_entries::gateway_place;
using odd_entries::gateways;

/// Only bounds how long the test waits for an answer that may never come.
constexpr seconds patience{60};
constexpr seconds crowd_time{12};
constexpr milliseconds poll_interval{10};
constexpr milliseconds calm{500};

/// The address of that name.
const std::string& address_of(const gateway_place& place, const std::string& name)
{
    const std::map<std::string, const std::string*> addresses{
        {"front", &place.front},     {"ready", &place.ready}, {"directory", &place.directory},
        {"metrics", &place.metrics}, {"peer", &place.peer},   {"relay", &place.relay}};
    const auto found = addresses.find(name);
    if (found == addresses.end()) {
        throw std::invalid_argument("no such address: " + name);
    }
    return *found->second;
}

/// The descriptors that processes started in its lifetime may open; this program keeps its own limit after
/// it.
class descriptor_limit {
public:
    explicit descriptor_limit(std::size_t descriptors)
    {
        getrlimit(RLIMIT_NOFILE, &before_);
        const rlimit lowered{descriptors, before_.rlim_max};
        setrlimit(RLIMIT_NOFILE, &lowered);
    }
    ~descriptor_limit() { setrlimit(RLIMIT_NOFILE, &before_); }
    descriptor_limit(const descriptor_limit&) = delete;
    descriptor_limit& operator=(const descriptor_limit&) = delete;

private:
    rlimit before_{};
};

/// A folder for settings and logs, removed at its end unless the caller named it.
class work_folder {
public:
    explicit work_folder(std::filesystem::path kept) : path_(std::move(kept)), made_here_(path_.empty())
    {
        if (made_here_) {
            auto name = (std::filesystem::temp_directory_path() / "client-crowds-XXXXXX").string();
            path_ = mkdtemp(name.data());
        }
        std::filesystem::create_directories(path_);
    }
    ~work_folder()
    {
        std::error_code ignored;
        if (made_here_) {
            std::filesystem::remove_all(path_, ignored);
        }
    }
    work_folder(const work_folder&) = delete;
    work_folder& operator=(const work_folder&) = delete;

    const std::filesystem::path& path() const { return path_; }

private:
    std::filesystem::path path_;
    bool made_here_;
};

std::size_t open_descriptors(pid_t process)
{
    std::error_code ignored;
    const std::filesystem::directory_iterator files("/proc/" + std::to_string(process) + "/fd", ignored);
    return static_cast<std::size_t>(std::distance(begin(files), end(files)));
}

/// The number behind the colon, in hexadecimal; 0 if there is none.
std::size_t number_behind_colon(const std::string& text)
{
    const auto colon = text.find(':');
    std::size_t number = 0;
    if (colon != std::string::npos) {
        std::from_chars(text.data() + colon + 1, text.data() + text.size(), number, 16);
    }
    return number;
}

/// What has arrived at the port and has not been read, by the system's table of IPv4 connections (proc(5),
/// /proc/net/tcp).
std::size_t unread_bytes(std::size_t port)
{
    std::ifstream table("/proc/net/tcp");
    std::size_t all = 0;
    for (std::string line; std::getline(table, line);) {
        std::istringstream fields(line);
        std::string index;
        std::string local;
        std::string remote;
        std::string state;
        std::string queues; // to send and to read
        fields >> index >> local >> remote >> state >> queues;
        if (number_behind_colon(local) == port) {
            all += number_behind_colon(queues);
        }
    }
    return all;
}

class play {
public:
    play(net::loop& loop, const std::string& program, const crowd_kind& kind,
         const std::filesystem::path& folder)
        : loop_(loop), kind_(kind), store_(loop), replica_(loop)
    {
        const descriptor_limit lowered(kind.bounds.descriptors);
        gateways_ = std::make_unique<gateways>(
            program, folder, 1, 0, value(store_.open()),
            [this](const gateway_place&, const std::string& text) {
                ++ends_;
                std::cout << text << std::endl;
            },
            kind.bounds.memory_mb);
        store_.put("servers", "i-first", replica_.entry());
        put_configuration();
    }

    net::task<void> run(std::string address_name)
    {
        port_ = value(parse_endpoint(address_of(place(), address_name))).port;
        net::start(loop_, watch_process());
        const bool before = co_await answers("before");
        crowd clients(loop_, kind_, address_of(place(), address_name));
        const auto until = steady::now() + crowd_time;
        while (!clients.stands() && steady::now() < until) {
            co_await net::sleep_for(loop_, poll_interval);
        }
        co_await settle(until);
        const bool beside = co_await answers("beside");
        clients.leave();
        const bool afterwards = co_await answers("afterwards");
        judge(before && beside && afterwards, clients.bytes_sent());
    }

    bool over() const { return over_; }
    bool passed() const { return passed_; }

private:
    net::loop& loop_;
    const crowd_kind& kind_;
    standins::fake_store store_;
    crowd_replica replica_;
    std::unique_ptr<gateways> gateways_;
    std::size_t port_ = 0; ///< of the crowd's address
    std::size_t ends_ = 0;
    std::size_t memory_ = 0;      ///< at its peak, in bytes
    std::size_t descriptors_ = 0; ///< at its peak
    bool over_ = false;
    bool passed_ = false;

    const gateway_place& place() const { return gateways_->places().front(); }

    static json route(const std::string& name, const std::string& kind)
    {
        return {{"Name", "r-" + name}, {"Host", "h"},   {"PathPrefix", "/" + name + "/"},
                {"Kind", kind},        {"Attempts", 1}, {"Service", "first"},
                {"TimeoutMs", 20000},  {"Priority", 2}, {"TargetLatencyMs", 5000}};
    }

    void put_configuration()
    {
        json whole{{"Version", 7}};
        whole["Routes"] = {route("first", "safe"), route("stream", "streaming"), route("batch", "rollout")};
        whole["Routes"].back()["ResultDeadlineMs"] = 60000;
        whole["Routes"].back()["MaxAgeS"] = 600;
        whole["Services"].push_back({{"Name", "first"}, {"HealthPath", "/health"}, {"MaxConnections", 1000}});
        whole["Limits"] = {{"MaxHeaderBytes", 65536},
                           {"MaxBodyBytes", 4194304},
                           {"HeaderTimeoutMs", 30000},
                           {"IdleTimeoutMs", 60000}};
        store_.put("config", "main", std::move(whole));
    }

    net::task<void> watch_process()
    {
        while (!over_) {
            gateways_->check();
            const auto unread = kind_.counts_unread ? unread_bytes(port_) : 0;
            memory_ = std::max(memory_, gateways::peak_memory(place()) + unread);
            descriptors_ = std::max(descriptors_, open_descriptors(place().process));
            co_await net::sleep_for(loop_, poll_interval);
        }
    }

    /// Waits until the process has taken all that it will take of the crowd.
    net::task<void> settle(time_point until)
    {
        auto seen = open_descriptors(place().process);
        auto since = steady::now();
        while (steady::now() - since < calm && steady::now() < until) {
            co_await net::sleep_for(loop_, poll_interval);
            const auto now_open = open_descriptors(place().process);
            if (std::exchange(seen, now_open) != now_open) {
                since = steady::now();
            }
        }
    }

    /// Whether an ordinary request is answered, by a client that comes again.
    net::task<bool> answers(std::string when)
    {
        const auto until = steady::now() + patience;
        for (std::size_t count = 0; steady::now() < until; ++count) {
            if (co_await ask(when + std::to_string(count))) {
                co_return true;
            }
            co_await net::sleep_for(loop_, poll_interval);
        }
        std::cout << "no answer " << when << std::endl;
        co_return false;
    }

    net::task<bool> ask(std::string id)
    {
        constexpr std::size_t max_bytes = 1U << 20U;
        net::http_request request;
        request.method = "POST";
        request.target = "/first/run";
        request.body = "hello";
        request.fields.add("Host", "h");
        request.fields.add("Attempt-Id", id);
        request.fields.add("Deadline-Ms", "20000");
        const auto until = steady::now() + seconds{2};
        net::http_connection connection(loop_);
        const auto connected = co_await connection.connect(place().front, until);
        if (std::holds_alternative<net::http_failure>(connected)) {
            co_return false;
        }
        const auto answer = co_await net::exchange(connection, request, max_bytes, until);
        const auto* response = std::get_if<net::http_response>(&answer);
        co_return response != nullptr && response->status == 200;
    }

    void judge(bool answered, std::size_t sent)
    {
        const auto most_memory = kind_.bounds.memory_mb * megabyte;
        const auto most_descriptors = kind_.bounds.descriptors - kind_.bounds.descriptors_left;
        passed_ = answered && ends_ == 0 && memory_ <= most_memory && descriptors_ <= most_descriptors;
        std::cout << (passed_ ? "ok" : "failed") << ": " << memory_ / megabyte << " of "
                  << kind_.bounds.memory_mb << " MB, " << descriptors_ << " of " << most_descriptors
                  << " descriptors, " << ends_ << " ends, " << (answered ? "" : "not ")
                  << "answered; the crowd sent " << sent / megabyte << " MB" << std::endl;
        over_ = true;
    }
};

bool play_one(const std::string& program, const std::string& kind, const std::string& address,
              const std::string& kept)
{
    const auto found = all_kinds().find(kind);
    if (found == all_kinds().end()) {
        throw std::invalid_argument("no such kind: " + kind);
    }
    const work_folder folder(kept);
    net::loop loop;
    play played(loop, program, found->second, folder.path());
    net::start(loop, played.run(address));
    while (!played.over()) {
        loop.run_one();
    }
    return played.passed();
}

} // namespace

int main(int argc, char** argv)
{
    const std::vector<std::string> words(argv + 1, argv + argc);
    try {
        if (words.size() < 3 || words.size() > 4) {
            throw std::invalid_argument("usage: vg-client-crowds GATEWAY_PROGRAM KIND ADDRESS [FOLDER]");
        }
        return play_one(words[0], words[1], words[2], words.size() > 3 ? words[3] : "") ? 0 : 1;
    }
    catch (const std::exception& why) {
        std::cerr << "vg-client-crowds: " << why.what() << '\n';
        return 2;
    }
}
