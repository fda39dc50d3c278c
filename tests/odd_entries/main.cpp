/// Real gateways beside a store that holds one odd entry among those of the replicas: from the start, and
/// then as a change. Each front is to serve, to follow what comes after, no process may end by itself, and
/// none may need more memory than a small machine has.
#include "gateways.hpp"
#include "net/http_client.hpp"
#include "odd_entry.hpp"
#include "standins/users/fake_replica.hpp"
#include "standins/users/fake_store.hpp"

#include <algorithm>
#include <cstdlib>
#include <deque>
#include <filesystem>
#include <iostream>
#include <map>
#include <memory>
#include <stdexcept>

namespace {

using namespace vanillagauge;
using namespace vanillagauge::odd_entries;
using nlohmann::json;

struct options {
    std::string program;
    std::filesystem::path folder{}; ///< of settings and logs
    std::vector<std::string> kinds{};
    std::size_t fronts = 2;
    std::size_t storages = 1;
    seconds limit{20};
    bool later = false;      ///< the entry comes as a change only, to gateways that serve
    bool whole_time = false; ///< goes on to the limit, whatever is seen
};

/// Throws std::invalid_argument.
options parse(const std::vector<std::string>& words)
{
    options chosen;
    std::deque<std::string> left(words.begin(), words.end());
    const auto next = [&left] {
        if (left.empty()) {
            throw std::invalid_argument("a word is missing");
        }
        auto word = left.front();
        left.pop_front();
        return word;
    };
    chosen.program = next();
    while (!left.empty()) {
        const auto word = next();
        if (word == "--seconds") {
            chosen.limit = seconds{std::stoi(next())};
            chosen.whole_time = true;
        }
        else if (word == "--later") {
            chosen.later = true;
        }
        else if (word == "--keep") {
            chosen.folder = next();
        }
        else if (word == "--fronts") {
            chosen.fronts = std::stoul(next());
        }
        else if (word == "--storages") {
            chosen.storages = std::stoul(next());
        }
        else if (all_kinds().contains(word)) {
            chosen.kinds.push_back(word);
        }
        else {
            throw std::invalid_argument("no such kind: " + word);
        }
    }
    return chosen;
}

/// Removed at its end, if it was made here.
class work_folder {
public:
    explicit work_folder(const std::filesystem::path& kept) : path_(kept), made_here_(kept.empty())
    {
        if (made_here_) {
            auto name = (std::filesystem::temp_directory_path() / "odd-entries-XXXXXX").string();
            path_ = mkdtemp(name.data());
        }
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

    /// For one kind.
    std::filesystem::path of(const std::string& kind) const
    {
        std::filesystem::create_directories(path_ / kind);
        return path_ / kind;
    }

private:
    std::filesystem::path path_;
    bool made_here_;
};

/// What a front has answered on one path.
struct front_record {
    std::size_t asked = 0;
    std::size_t served = 0;
    std::map<std::string, std::size_t> others{}; ///< by what came in place of a 200
    bool serves = false;                         ///< the last request
};

class play {
public:
    play(net::loop& loop, const options& chosen, std::string kind, const std::filesystem::path& folder)
        : loop_(loop), options_(chosen), kind_(std::move(kind)), store_(loop), first_(loop, "i-first"),
          late_(loop, "i-late"), odd_(loop, "i-odd"),
          gateways_(options_.program, folder, options_.fronts, options_.storages, open_all(),
                    [this](const gateway_place&, const std::string& text) { line(text); })
    {
        store_.put("servers", first_.id(), first_.entry("first", "", "ready"));
        put_configuration();
        if (!options_.later) {
            put_odd_entry();
        }
    }

    net::task<void> run()
    {
        net::start(loop_, watch_processes());
        for (std::size_t number = 0; number < options_.fronts; ++number) {
            net::start(loop_, ask_often(number, "/first/", first_records_));
            net::start(loop_, ask_often(number, "/late/", late_records_));
        }
        const auto until = began_ + options_.limit;
        const auto half = began_ + options_.limit / 2;
        while (steady::now() < half && (options_.whole_time || !all_serve(first_records_))) {
            co_await net::sleep_for(loop_, poll_interval);
        }
        line(all_serve(first_records_) ? "all fronts serve" : "not all fronts serve");
        put_odd_entry();
        store_.put("servers", late_.id(), late_.entry("late", "", "ready"));
        line("a sound entry comes after the odd one");
        while (steady::now() < until && (options_.whole_time || !all_serve(late_records_))) {
            co_await net::sleep_for(loop_, poll_interval);
        }
        co_await net::sleep_for(loop_, calm);
        judge();
    }

    bool over() const { return over_; }
    bool passed() const { return passed_; }

private:
    static constexpr milliseconds poll_interval{20};
    static constexpr milliseconds ask_interval{250};
    static constexpr milliseconds calm{1500};
    static constexpr std::size_t machine_bytes = 110'000'000;

    net::loop& loop_;
    options options_;
    std::string kind_;
    standins::fake_store store_;
    standins::fake_replica first_;
    standins::fake_replica late_;
    standins::fake_replica odd_;
    time_point began_ = steady::now();
    gateways gateways_;
    std::map<std::size_t, front_record> first_records_; ///< by number of the front
    std::map<std::size_t, front_record> late_records_;
    bool over_ = false;
    bool passed_ = false;

    void line(const std::string& text) const
    {
        const auto since = std::chrono::duration_cast<milliseconds>(steady::now() - began_);
        std::cout << kind_ << " " << since.count() << " " << text << std::endl;
    }

    std::string open_all()
    {
        for (auto* replica : {&first_, &late_, &odd_}) {
            static_cast<void>(replica->open());
        }
        return value(store_.open());
    }

    void put_configuration()
    {
        json whole{{"Version", 7}};
        for (const std::string name : {"first", "late"}) {
            whole["Routes"].push_back({{"Name", "r-" + name},
                                       {"Host", "h"},
                                       {"PathPrefix", "/" + name + "/"},
                                       {"Kind", "safe"},
                                       {"Attempts", 3},
                                       {"Service", name},
                                       {"TimeoutMs", 900},
                                       {"Priority", 2},
                                       {"TargetLatencyMs", 300}});
            whole["Services"].push_back({{"Name", name}, {"HealthPath", "/health"}, {"MaxConnections", 100}});
        }
        whole["Limits"] = {{"MaxHeaderBytes", 16384},
                           {"MaxBodyBytes", 33554432},
                           {"HeaderTimeoutMs", 3000},
                           {"IdleTimeoutMs", 15000}};
        store_.put("config", "main", std::move(whole));
    }

    void put_odd_entry()
    {
        const auto& odd = all_kinds().at(kind_);
        for (std::size_t number = 0; number < odd.count; ++number) {
            const auto name = "i-odd" + (number == 0 ? std::string{} : "-" + std::to_string(number));
            const sound_entry sound{name, odd_.address(), "first", first_.id(),
                                    gateways_.places().front().front};
            store_.put_text(odd.place, name, odd.text(sound, store_.revision() + 1));
        }
    }

    bool all_serve(const std::map<std::size_t, front_record>& records) const
    {
        return records.size() == options_.fronts &&
               std::all_of(records.begin(), records.end(), [](const auto& one) { return one.second.serves; });
    }

    net::task<void> watch_processes()
    {
        while (true) {
            gateways_.check();
            co_await net::sleep_for(loop_, poll_interval);
        }
    }

    net::task<void> ask_often(std::size_t number, std::string path,
                              std::map<std::size_t, front_record>& records)
    {
        const auto address = gateways_.places().at(number).front;
        for (std::size_t count = 0;; ++count) {
            net::http_request request;
            request.method = "POST";
            request.target = path + "run";
            request.fields.add("Host", "h");
            request.fields.add("Attempt-Id",
                               path.substr(1, 1) + std::to_string(number) + "x" + std::to_string(count));
            request.fields.add("Deadline-Ms", "900");
            const auto seen = co_await ask(address, std::move(request));
            auto& record = records[number];
            ++record.asked;
            record.serves = seen == "200";
            if (record.serves) {
                ++record.served;
            }
            else {
                ++record.others[seen];
            }
            co_await net::sleep_for(loop_, ask_interval);
        }
    }

    /// The status, or what failed.
    net::task<std::string> ask(std::string address, net::http_request request)
    {
        constexpr std::size_t max_bytes = 1U << 20U;
        const auto until = steady::now() + seconds{2};
        net::http_connection connection(loop_);
        const auto connected = co_await connection.connect(std::move(address), until);
        if (std::holds_alternative<net::http_failure>(connected)) {
            co_return "no connection";
        }
        const auto answer = co_await net::exchange(connection, request, max_bytes, until);
        const auto* response = std::get_if<net::http_response>(&answer);
        co_return response == nullptr ? "no answer" : std::to_string(response->status);
    }

    void tell(const std::string& path, const std::map<std::size_t, front_record>& records) const
    {
        for (const auto& [number, record] : records) {
            auto text = "front-" + std::to_string(number) + " served " + std::to_string(record.served) +
                        " of " + std::to_string(record.asked) + " on " + path +
                        (record.serves ? ", the last one too" : ", but not the last one");
            for (const auto& [seen, count] : record.others) {
                text += "; " + std::to_string(count) + " " + seen;
            }
            line(text);
        }
    }

    void judge()
    {
        std::size_t ends = 0;
        std::size_t peak = 0;
        for (const auto& place : gateways_.places()) {
            ends += place.ends;
            peak = std::max(peak, gateways::peak_memory(place));
        }
        tell("/first/", first_records_);
        tell("/late/", late_records_);
        passed_ = ends == 0 && peak <= machine_bytes && all_serve(first_records_) && all_serve(late_records_);
        line(std::string(passed_ ? "ok" : "failed") + ", " + std::to_string(ends) +
             " ends by themselves, at most " + std::to_string(peak) + " bytes of memory in a process");
        over_ = true;
    }
};

/// Plays all kinds beside each other; returns whether all passed.
bool play_all(const options& chosen)
{
    const work_folder folder(chosen.folder);
    net::loop loop;
    std::vector<std::unique_ptr<play>> plays;
    for (const auto& kind : chosen.kinds) {
        plays.push_back(std::make_unique<play>(loop, chosen, kind, folder.of(kind)));
        net::start(loop, plays.back()->run());
    }
    const auto all = [&plays](bool (play::*holds)() const) {
        return std::all_of(plays.begin(), plays.end(), [holds](const auto& one) { return (*one.*holds)(); });
    };
    while (!all(&play::over)) {
        loop.run_one();
    }
    return all(&play::passed);
}

} // namespace

int main(int argc, char** argv)
{
    try {
        return play_all(parse({argv + 1, argv + argc})) ? 0 : 1;
    }
    catch (const std::invalid_argument& why) {
        std::cerr
            << "vg-odd-entries: " << why.what()
            << "\nusage: vg-odd-entries GATEWAY_PROGRAM [--seconds N] [--fronts N] [--storages N] [--later] "
               "[--keep FOLDER] KIND...\nkinds:";
        for (const auto& [name, text] : all_kinds()) {
            std::cerr << ' ' << name;
        }
        std::cerr << '\n';
        return 2;
    }
    catch (const std::exception& why) {
        std::cerr << "vg-odd-entries: " << why.what() << '\n';
        return 2;
    }
}
