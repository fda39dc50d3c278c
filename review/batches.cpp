#include "batches.hpp"

#include <random>
#include <thread>

namespace review {
namespace {

constexpr milliseconds call_time{4000};
constexpr int group_size = 4;
constexpr const char* host = "rollouts.example";

std::string new_id()
{
    static std::mt19937_64 random{std::random_device{}()};
    std::string text(16, '0');
    for (auto& letter : text) {
        letter = "0123456789abcdef"[random() % 16];
    }
    return text;
}

} // namespace

json rollout_configuration(int version)
{
    return json::parse(R"({"Version":)" + std::to_string(version) + R"(,
        "Routes":[{"Name":"r-lots","Host":"rollouts.example","PathPrefix":"/lots/","Kind":"rollout",
            "TimeoutMs":10000,"TargetLatencyMs":500,"Priority":1,"Service":"lm","Attempts":3,
            "MaxAgeS":40.0,"ResultDeadlineMs":7500,"SingleVersion":false,"Sticky":true,"Resumable":true}],
        "Services":[{"Name":"lm","HealthPath":"/health","MaxConnections":150,
            "Engine":{"Slots":4,"Stride":1,"Models":[{"Name":"m"}]}}],
        "Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":33554432,"HeaderTimeoutMs":3000,
            "IdleTimeoutMs":15000}})");
}

batch make_batch(std::size_t items)
{
    batch made{new_id(), {}};
    for (std::size_t index = 0; index < items; ++index) {
        made.items.push_back(new_id());
    }
    return made;
}

bool submit(const batch& wanted, const std::vector<std::string>& fronts, recorder& record)
{
    json items = json::array();
    for (std::size_t index = 0; index < wanted.items.size(); ++index) {
        items.push_back({{"Id", wanted.items[index]},
                         {"Path", "/lots/run/" + wanted.items[index]},
                         {"Headers", {{"Model", "m"}, {"Token-Counts", "20,400"}}},
                         {"Body", "cHJvbXB0"},
                         {"Tokens", 420},
                         {"Group", "g" + std::to_string(index / group_size)}});
    }
    const json body{{"Step", 0},
                    {"Model", "m"},
                    {"MinVersion", 1},
                    {"DesiredCount", wanted.items.size() / group_size},
                    {"Items", items}};
    const auto until = steady::now() + milliseconds(10000);
    for (std::size_t turn = 0; steady::now() < until; ++turn) {
        const auto& front = fronts[turn % fronts.size()];
        const auto answer =
            call(front, "POST", "/lots/" + wanted.id,
                 {{"Host", host}, {"Attempt-Id", wanted.id}, {"Content-Type", "application/json"}},
                 body.dump(), call_time);
        record.line("trainer: submits batch " + wanted.id + ", answered " + std::to_string(answer.status));
        if (answer.status == 202) {
            return true;
        }
        std::this_thread::sleep_for(milliseconds(300));
    }
    return false;
}

http_message read_results(const std::string& front, const std::string& batch, std::size_t after)
{
    return call(front, "GET", "/api/lots/" + batch + "?After=" + std::to_string(after),
                {{"Host", host}, {"Wait-Ms", "1000"}}, {}, call_time);
}

bool end_batch(const std::string& front, const std::string& batch, recorder& record)
{
    const auto answer = call(front, "DELETE", "/api/lots/" + batch, {{"Host", host}}, {}, call_time);
    record.line("trainer: ends batch " + batch + ", answered " + std::to_string(answer.status));
    return answer.status == 200;
}

std::string whole_text(const std::string& item, int events)
{
    std::string text;
    for (int number = 1; number <= events; ++number) {
        text += (number > 1 ? "\n" : "") + item + "-" + std::to_string(number);
    }
    return text;
}

} // namespace review
