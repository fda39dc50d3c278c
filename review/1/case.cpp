// A replica sends a second copy of one answer late, where the answer to the next item is expected. The item
// is then listed as terminated, though no replica has answered it with 422 or 500.
#include "../batches.hpp"

#include <thread>

namespace {

using namespace review;

constexpr std::size_t items = 40;
constexpr milliseconds time_for_results{30000};

struct listed {
    std::string state;
    std::string text;
};

std::map<std::string, listed> read_all(const std::string& front, const batch& wanted, recorder& record)
{
    std::map<std::string, listed> results;
    const auto until = steady::now() + time_for_results;
    while (results.size() < wanted.items.size() && steady::now() < until) {
        const auto answer = read_results(front, wanted.id, results.size());
        const auto page = json::parse(answer.body, nullptr, false);
        if (answer.status != 200 || !page.is_object()) {
            std::this_thread::sleep_for(milliseconds(200));
            continue;
        }
        for (const auto& entry : page["Results"]) {
            const auto id = entry.at("Id").get<std::string>();
            results[id] = {entry.at("State").get<std::string>(), entry.at("Text").get<std::string>()};
            record.line("trainer: reads " + id + ", " + results[id].state);
        }
    }
    return results;
}

} // namespace

int main(int argc, char** argv)
{
    const auto chosen = parse_options(argc, argv);
    recorder record(chosen.record);
    store objects(record);
    const auto wanted = make_batch(items);
    // One item can never be done: it is answered 422 at its first run.
    const auto& impossible = wanted.items.front();
    std::atomic<bool> extra_sent{false};
    std::vector<std::shared_ptr<replica>> engines;
    for (const auto* id : {"i-1", "i-2"}) {
        auto engine = std::make_shared<replica>(replica::traits{id, "lm", "m"}, record);
        engine->status_for = [&](const std::string& item) { return item == impossible ? 422 : 0; };
        engine->repeats_answer = [&](const std::string& item) {
            return chosen.trouble && item == impossible && !extra_sent.exchange(true);
        };
        engines.push_back(std::move(engine));
    }
    objects.put("config", "main", rollout_configuration(1));
    keep_entries(objects, engines);
    fleet gateways(chosen.program, chosen.folder, 3, objects.address(), record);
    const auto& front = gateways.machines().front().front;
    if (!gateways.wait_until_ready(milliseconds(15000)) || !submit(wanted, {front}, record)) {
        gateways.finish(not_run);
    }
    const auto results = read_all(front, wanted, record);
    int wrong = 0;
    for (const auto& item : wanted.items) {
        const auto found = results.find(item);
        const bool as_it_should =
            found != results.end() && (item == impossible ? found->second.state == "terminated"
                                                          : found->second.state == "completed" &&
                                                                found->second.text == whole_text(item, 12));
        if (!as_it_should) {
            ++wrong;
            record.line("MIXED: item " + item + " is listed as " +
                        (found == results.end() ? "nothing" : found->second.state) +
                        "; no replica answered it with 422 or 500");
        }
    }
    record.line("items listed wrongly: " + std::to_string(wrong));
    gateways.finish(wrong > 0 ? rule_broken : rule_held);
}
