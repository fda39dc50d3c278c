/// Case 5: model replicas hand out wrong bytes while the batches of two trainers run.
#include "../../standins/users/fake_replica.hpp"
#include "../outside_2.hpp"

#include <boost/asio/io_context.hpp>

#include <algorithm>
#include <iostream>
#include <map>
#include <sstream>

namespace {

using namespace vanillagauge;
using namespace vanillagauge::review;
using nlohmann::json;

// The deployment: that of sites/casco-limpo.toml.
const std::vector<std::string> zones{"recife", "suape", "salvador", "pecem"};
constexpr std::size_t fronts = 8;
constexpr std::size_t engines = 9;
constexpr std::size_t plain_replicas = 4;
constexpr std::uint64_t gate_clients = 24;
constexpr double checks_a_client = 0.25; // each second
constexpr milliseconds step_interval{4000};
constexpr milliseconds step_time{12000};
constexpr milliseconds training_time{500};

struct trainer_plan {
    std::string model;
    std::string path;
    std::size_t groups = 0;
    std::size_t items_a_group = 0;
    std::size_t wanted_groups = 0;
    int output_tokens = 0;
};
const std::vector<trainer_plan> trainers{{"m0", "/short/", 15, 8, 14, 649},
                                         {"m1", "/long/", 27, 4, 25, 1593}};

// The disturbance: share and dose as `fleetbench kinds` gives them, the length of each time as in the site
// file.
constexpr double share_of_engines = 0.5;
constexpr double share_of_answers = 0.02;
constexpr milliseconds trouble_length{5500};
constexpr milliseconds calm_between{500};
constexpr int trouble_times = 14;
constexpr milliseconds calm_before{6000};
constexpr milliseconds calm_after{8000};

// The rule: on a tenth of the machines in use, two at least, processes end by themselves three times.
constexpr std::size_t ends_a_machine = 3;

std::size_t machines_allowed(std::size_t machines)
{
    constexpr std::size_t least = 2;
    return std::max(least, (machines + 9) / 10);
}

struct step_record {
    std::string id;
    bool accepted = false;
    std::map<std::string, std::size_t> read_of_group;
    std::size_t complete = 0;
    std::size_t read = 0;
};

net::http_request make(const std::string& method, const std::string& target)
{
    net::http_request request;
    request.method = method;
    request.target = target;
    request.fields.add("Host", "h");
    return request;
}

net::http_request submission(const trainer_plan& plan, const std::string& id, std::uint64_t step)
{
    json items = json::array();
    for (std::size_t group = 0; group < plan.groups; ++group) {
        const auto name = plan.model + "s" + std::to_string(step) + "g" + std::to_string(group);
        for (std::size_t number = 0; number < plan.items_a_group; ++number) {
            json item{{"Id", name + "i" + std::to_string(number)}, {"Path", plan.path + "run"}};
            item["Headers"] = {{"Model", plan.model},
                               {"Token-Counts", "1016," + std::to_string(plan.output_tokens)},
                               {"Length-Hint", std::to_string(plan.output_tokens)},
                               {"Prompt-Prefix", "9c2e41:1000,5d07b8:16"}};
            item["Body"] = "q83vEjRWeJA=";
            item["Tokens"] = 1016 + plan.output_tokens;
            item["Group"] = name;
            items.push_back(std::move(item));
        }
    }
    json body{{"Step", step},
              {"Model", plan.model},
              {"MinVersion", std::max<std::uint64_t>(step, 2) - 1},
              {"DesiredCount", plan.wanted_groups}};
    body["Items"] = std::move(items);
    auto request = make("POST", plan.path + id);
    request.fields.add("Attempt-Id", id);
    request.fields.add("Content-Type", "application/json");
    request.body = body.dump();
    return request;
}

class play {
public:
    play(net::loop& loop, std::filesystem::path folder, const std::filesystem::path& record_file,
         bool trouble)
        : folder_(std::move(folder)), trouble_(trouble), loop_(loop), book_(record_file), store_(loop),
          places_(choose_places(loop, fronts, zones))
    {
        write_settings(folder_, places_, value(store_.open()));
        add_replicas();
        put_configuration();
        std::ofstream names(folder_ / "names");
        for (const auto& place : places_) {
            names << place.vm << "\n";
        }
    }

    net::task<void> run()
    {
        std::cout << "ready" << std::endl;
        if (!co_await wait_until_ready(loop_, places_, seconds{20})) {
            book_.line("the gateways did not become ready");
            finish(2);
            co_return;
        }
        book_.line(std::to_string(places_.size()) + " processes run, " + std::to_string(fronts) +
                   " of them are ready for clients");
        for (const auto& plan : trainers) {
            net::start(loop_, train(plan));
        }
        for (std::uint64_t client = 0; client < gate_clients; ++client) {
            net::start(loop_, check(client));
        }
        co_await net::sleep_for(loop_, calm_before);
        for (int times = 0; times < trouble_times; ++times) {
            set_trouble(true);
            co_await net::sleep_for(loop_, trouble_length);
            set_trouble(false);
            co_await net::sleep_for(loop_, calm_between);
        }
        co_await net::sleep_for(loop_, calm_after);
        over_ = true;
        judge();
    }

    int code() const { return code_; }

private:
    std::filesystem::path folder_;
    bool trouble_;
    net::loop& loop_;
    record book_;
    standins::fake_store store_;
    std::vector<gateway_place> places_;
    std::vector<std::unique_ptr<model_replica>> engines_;
    std::vector<std::unique_ptr<standins::fake_replica>> plain_;
    std::vector<std::shared_ptr<step_record>> steps_;
    std::map<std::string, std::uint64_t> named_versions_;
    std::mt19937_64 random_{4};
    std::size_t checks_ = 0;
    std::size_t checks_answered_ = 0;
    bool over_ = false;
    int code_ = 2;

    void add_replicas()
    {
        for (std::size_t number = 0; number < engines; ++number) {
            const std::vector<std::string> models{trainers[0].model, trainers[1].model};
            engines_.push_back(
                std::make_unique<model_replica>(loop_, "i-lm" + std::to_string(number), models, 40 + number));
            engines_.back()->on_spoiled = [this](const std::string& text) { book_.line(text); };
            static_cast<void>(engines_.back()->open());
            store_.put("servers", engines_.back()->id(),
                       engines_.back()->entry("laudo-models", zones[number % zones.size()]));
        }
        for (std::size_t number = 0; number < plain_replicas; ++number) {
            plain_.push_back(
                std::make_unique<standins::fake_replica>(loop_, "i-app" + std::to_string(number)));
            plain_.back()->work_time = milliseconds{25};
            static_cast<void>(plain_.back()->open());
            auto entry = plain_.back()->entry("agenda-app", "", "ready");
            entry["Zone"] = zones[number];
            entry["Slots"] = 6;
            store_.put("servers", plain_.back()->id(), std::move(entry));
        }
    }

    void put_configuration()
    {
        json routes = json::array();
        json models = json::array();
        for (const auto& plan : trainers) {
            json route{{"Name", "r-" + plan.model},
                       {"Host", "h"},
                       {"PathPrefix", plan.path},
                       {"Kind", "rollout"},
                       {"Service", "laudo-models"},
                       {"Attempts", 3},
                       {"TimeoutMs", 10000},
                       {"TargetLatencyMs", 400},
                       {"Priority", 1},
                       {"SingleVersion", false},
                       {"Sticky", true},
                       {"Resumable", true},
                       {"MaxAgeS", 40},
                       {"ResultDeadlineMs", 7500}};
            routes.push_back(std::move(route));
            models.push_back(json{{"Name", plan.model}});
        }
        json safe{{"Name", "r-check"}, {"Host", "h"},   {"PathPrefix", "/slot/"},
                  {"Kind", "safe"},    {"Attempts", 2}, {"Service", "agenda-app"},
                  {"TimeoutMs", 800},  {"Priority", 2}, {"TargetLatencyMs", 150}};
        routes.push_back(std::move(safe));
        json engine{{"Slots", 16}, {"Stride", 59}};
        engine["Models"] = std::move(models);
        json model_service{{"Name", "laudo-models"}, {"HealthPath", "/health"}, {"MaxConnections", 180}};
        model_service["Engine"] = std::move(engine);
        json plain_service{{"Name", "agenda-app"}, {"HealthPath", "/health"}, {"MaxConnections", 110}};
        json whole{{"Version", 7}};
        whole["Routes"] = std::move(routes);
        whole["Services"] = json::array({model_service, plain_service});
        whole["Limits"] = {{"MaxHeaderBytes", 16384},
                           {"MaxBodyBytes", 33554432},
                           {"HeaderTimeoutMs", 3000},
                           {"IdleTimeoutMs", 15000}};
        store_.put("config", "main", std::move(whole));
    }

    void set_trouble(bool begins)
    {
        if (!trouble_) {
            return;
        }
        const auto spoils = static_cast<std::size_t>(engines * share_of_engines);
        for (std::size_t number = 0; number < spoils; ++number) {
            engines_[number]->spoiled_share = begins ? share_of_answers : 0;
        }
        book_.line(std::to_string(spoils) + " of " + std::to_string(engines) + " model replicas " +
                   (begins ? "hand out wrong bytes in 2 of 100 answers" : "are sound again"));
    }

    const std::string& some_front()
    {
        return places_[std::uniform_int_distribution<std::size_t>(0, fronts - 1)(random_)].front;
    }

    net::task<void> train(trainer_plan plan)
    {
        named_versions_[plan.model] = 1;
        for (std::uint64_t step = 1; !over_; ++step) {
            const auto began = steady::now();
            net::start(loop_, run_step(plan, step));
            co_await net::sleep_for(loop_, step_interval - (steady::now() - began));
        }
    }

    net::task<void> run_step(trainer_plan plan, std::uint64_t step)
    {
        const auto known = std::make_shared<step_record>();
        known->id = plan.model + "e09b52d6" + std::to_string(1000 + step);
        steps_.push_back(known);
        const auto name = plan.model + " step " + std::to_string(step);
        const auto until = steady::now() + step_time;
        while (!known->accepted && steady::now() < until) {
            auto request = submission(plan, known->id, step);
            const auto answer = co_await ask(loop_, some_front(), std::move(request), seconds{4});
            const auto* response = std::get_if<net::http_response>(&answer);
            known->accepted = response != nullptr && response->status == 202;
            book_.line(name + " submitted: " +
                       (response != nullptr ? std::to_string(response->status)
                                            : std::get<net::http_failure>(answer).detail));
        }
        while (known->accepted && known->complete < plan.wanted_groups && steady::now() < until) {
            co_await read_results(known, plan.items_a_group);
        }
        book_.line(name + ": " + std::to_string(known->complete) + " groups read, " +
                   std::to_string(plan.wanted_groups) + " wanted");
        bool ended = !known->accepted;
        while (!ended && !over_) {
            auto request = make("DELETE", "/api/lots/" + known->id);
            const auto answer = co_await ask(loop_, some_front(), std::move(request), seconds{4});
            const auto* response = std::get_if<net::http_response>(&answer);
            ended = response != nullptr && response->status == 200;
            co_await net::sleep_for(loop_, milliseconds{ended ? 0 : 300});
        }
        co_await net::sleep_for(loop_, training_time);
        if (!over_) {
            const auto version = ++named_versions_[plan.model];
            store_.put("versions", plan.model, {{"Model", plan.model}, {"Version", version}});
        }
    }

    net::task<void> read_results(std::shared_ptr<step_record> known, std::size_t items_a_group)
    {
        auto request = make("GET", "/api/lots/" + known->id + "?After=" + std::to_string(known->read));
        request.fields.add("Wait-Ms", "1000");
        const auto answer = co_await ask(loop_, some_front(), std::move(request), milliseconds{2500});
        const auto* response = std::get_if<net::http_response>(&answer);
        if (response != nullptr && response->status == 200) {
            const auto page = json::parse(response->body, nullptr, false);
            for (const auto& result : page.value("Results", json::array())) {
                const auto item = result.value("Id", std::string{});
                auto& count = known->read_of_group[item.substr(0, item.find('i'))];
                known->complete += ++count == items_a_group ? 1 : 0;
                ++known->read;
            }
        }
        co_await net::sleep_for(loop_, milliseconds{300});
    }

    net::task<void> check(std::uint64_t client)
    {
        std::mt19937_64 random(client);
        std::exponential_distribution<double> pause(checks_a_client);
        std::unique_ptr<net::http_connection> kept;
        for (std::uint64_t number = 0; !over_; ++number) {
            co_await net::sleep_for(loop_, milliseconds{static_cast<std::int64_t>(pause(random) * 1000)});
            if (over_) {
                co_return;
            }
            if (!kept || !kept->reusable()) {
                kept = std::make_unique<net::http_connection>(loop_);
                const auto connected = co_await kept->connect(some_front(), steady::now() + seconds{1});
                if (!std::holds_alternative<done>(connected)) {
                    kept.reset();
                    continue;
                }
            }
            auto request = make("POST", "/slot/check");
            request.fields.add("Attempt-Id", std::to_string(client) + "c" + std::to_string(number));
            request.fields.add("Deadline-Ms", "800");
            ++checks_;
            const auto answer = co_await net::exchange(*kept, request, 1U << 20U, steady::now() + seconds{2});
            if (std::holds_alternative<net::http_response>(answer)) {
                ++checks_answered_;
            }
            else {
                kept.reset();
            }
        }
    }

    void judge()
    {
        std::ofstream(folder_ / "over") << "\n";
        std::map<std::string, std::size_t> ends;
        std::ifstream seen(folder_ / "ends");
        for (std::string line; std::getline(seen, line);) {
            std::istringstream words(line);
            std::string vm;
            words >> vm;
            ++ends[vm];
        }
        std::size_t machines = 0;
        for (const auto& [vm, count] : ends) {
            book_.line(vm + ": its process ended by itself " + std::to_string(count) + " times");
            machines += count >= ends_a_machine ? 1 : 0;
        }
        std::size_t answers = 0;
        std::size_t spoiled = 0;
        for (const auto& engine : engines_) {
            answers += engine->answers;
            spoiled += engine->spoiled;
        }
        const auto accepted =
            std::count_if(steps_.begin(), steps_.end(), [](const auto& step) { return step->accepted; });
        book_.line(std::to_string(spoiled) + " of " + std::to_string(answers) + " answers were spoiled; " +
                   std::to_string(accepted) + " of " + std::to_string(steps_.size()) + " steps accepted; " +
                   std::to_string(checks_answered_) + " of " + std::to_string(checks_) + " checks answered");
        const auto allowed = machines_allowed(places_.size());
        const bool broken = machines >= allowed;
        book_.line("machines whose process ended by itself " + std::to_string(ends_a_machine) +
                   " times or more: " + std::to_string(machines) + " of " + std::to_string(places_.size()) +
                   "; the day has a fault from " + std::to_string(allowed) +
                   " on: " + (broken ? "broken" : "held"));
        finish(broken ? 1 : 0);
    }

    void finish(int code)
    {
        std::ofstream(folder_ / "over") << "\n";
        code_ = code;
        loop_.stop();
    }
};

} // namespace

int main(int argc, char** argv)
{
    if (argc != 4) {
        std::cerr << "usage: case-5 FOLDER RECORD TROUBLE\n";
        return 2;
    }
    try {
        net::loop loop;
        play played(loop, argv[1], argv[2], std::string(argv[3]) != "0");
        net::start(loop, played.run());
        loop.run();
        return played.code();
    }
    catch (const std::exception& why) {
        std::cerr << "case-5: " << why.what() << "\n";
        return 2;
    }
}
