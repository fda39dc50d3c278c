/// vg-fake-trainer: a stand-in trainer that pulls a job's samples, checks them, and reports its weights
/// version.

#include "node/channel_pool.hpp"
#include "node/program.hpp"
#include "wire/wire.hpp"

#include "vanillagauge.pb.h"

#include <nlohmann/json.hpp>
#include <tclap/CmdLine.h>

#include <fstream>
#include <iostream>
#include <set>
#include <thread>
#include <tuple>

namespace {

using namespace vanillagauge;

constexpr milliseconds pull_wait{1000};
constexpr milliseconds retry_delay{100};
constexpr milliseconds pull_timeout{5000};

struct trainer_options {
    std::string job;
    std::vector<std::string> addresses;
    std::string token;
    int steps = 3;
    int pull_size = 32;
    milliseconds train_time{200};
    std::uint64_t version = 1;
    milliseconds run_timeout{120000};
    int lose_cursor_at = -1; ///< step in the middle of which the cursor is discarded once; -1: never
    int lose_reply_at = -1;  ///< step of which one reply is dropped as if lost; -1: never
};

/// Step, group and index: must be delivered once, whatever the sample's id.
using slot_name = std::tuple<std::int64_t, int, int>;

struct trainer_report {
    std::int64_t samples = 0;
    std::int64_t duplicates = 0;
    std::int64_t mixed_versions = 0; ///< samples with spans of several versions
    std::int64_t staleness_sum = 0;
    std::int64_t max_staleness = 0;
    std::int64_t failed_pulls = 0;
    std::int64_t unscored = 0;
    std::int64_t tokens = 0;
    std::int64_t restarts = 0;
    int steps_done = 0;
    duration waited{};
    duration trained{};
    std::vector<double> step_seconds;
};

double in_seconds(duration took)
{
    return std::chrono::duration<double>(took).count();
}

class trainer {
public:
    trainer(trainer_options options, wire::event_loop& loop)
        : options_(std::move(options)), channels_(node::http_channels(loop)),
          address_(options_.addresses.front()), version_(options_.version)
    {
    }

    bool run()
    {
        const auto deadline = steady::now() + options_.run_timeout;
        while (report_.steps_done < options_.steps) {
            if (!run_step(deadline)) {
                return false;
            }
        }
        return true;
    }

    const trainer_report& report() const { return report_; }
    std::uint64_t version() const { return version_; }

private:
    trainer_options options_;
    node::channel_pool channels_;
    std::string address_;
    std::size_t next_address_ = 0;
    std::uint64_t version_;
    std::string cursor_;
    std::set<slot_name> seen_;
    bool lost_cursor_ = false;
    bool lost_reply_ = false;
    trainer_report report_;

    bool run_step(time_point deadline)
    {
        const auto start = steady::now();
        bool complete = false;
        while (!complete) {
            if (steady::now() > deadline) {
                return false;
            }
            complete = pull_once();
        }
        report_.waited += steady::now() - start;
        std::this_thread::sleep_for(options_.train_time);
        report_.trained += options_.train_time;
        report_.step_seconds.push_back(in_seconds(steady::now() - start));
        ++version_;
        ++report_.steps_done;
        return true;
    }

    bool pull_once()
    {
        v1::PullRequest request;
        request.set_job(options_.job);
        request.set_cursor(cursor_);
        request.set_trainer_version(version_);
        request.set_max_samples(options_.pull_size);
        request.set_wait_ms(pull_wait.count());
        wire::call_options call;
        call.timeout = pull_timeout;
        call.token = options_.token;
        const auto outcome = wire::call_and_wait<v1::PullReply>(
            *channels_.at(address_), wire::method<v1::Rollout>("Pull"), request, call);
        if (!ok(outcome)) {
            on_failure(failure(outcome));
            return false;
        }
        const auto& reply = value(outcome);
        if (!lost_reply_ && reply.step() == options_.lose_reply_at && reply.samples_size() > 0) {
            lost_reply_ = true;
            return false;
        }
        if (reply.restarted()) {
            drop_step(reply.step());
        }
        for (const auto& sample : reply.samples()) {
            record_sample(sample);
        }
        cursor_ = reply.cursor();
        const bool lose = !lost_cursor_ && reply.step() == options_.lose_cursor_at;
        if (lose && !reply.step_complete() && reply.samples_size() > 0) {
            lost_cursor_ = true;
            cursor_.clear();
        }
        return reply.step_complete();
    }

    /// The step restarts, as after a lost cursor: discards its samples, so that they count once.
    void drop_step(std::int64_t step)
    {
        ++report_.restarts;
        for (auto it = seen_.begin(); it != seen_.end();) {
            const bool dropped = std::get<0>(*it) == step;
            report_.samples -= dropped ? 1 : 0;
            it = dropped ? seen_.erase(it) : std::next(it);
        }
    }

    void on_failure(const error& refused)
    {
        if (refused.code == error_code::wrong_node) {
            address_ = refused.redirect;
            return;
        }
        ++report_.failed_pulls;
        next_address_ = (next_address_ + 1) % options_.addresses.size();
        address_ = options_.addresses[next_address_];
        std::this_thread::sleep_for(retry_delay);
    }

    void record_sample(const v1::Sample& sample)
    {
        ++report_.samples;
        report_.duplicates += seen_.insert({sample.step(), sample.group(), sample.index()}).second ? 0 : 1;
        report_.unscored += sample.unscored().empty() ? 0 : 1;
        for (const auto& span : sample.spans()) {
            report_.tokens += span.tokens();
        }
        report_.mixed_versions += sample.spans_size() > 1 ? 1 : 0;
        const auto staleness =
            static_cast<std::int64_t>(version_) - static_cast<std::int64_t>(sample.oldest_version());
        report_.staleness_sum += staleness;
        report_.max_staleness = std::max(report_.max_staleness, staleness);
    }
};

nlohmann::json to_json(const trainer& run, bool finished)
{
    const auto& report = run.report();
    const double total = in_seconds(report.waited + report.trained);
    nlohmann::json summary;
    summary["finished"] = finished;
    summary["steps"] = report.steps_done;
    summary["samples"] = report.samples;
    summary["doubled"] = report.duplicates;
    summary["mixed_version_samples"] = report.mixed_versions;
    summary["final_version"] = run.version();
    summary["unscored"] = report.unscored;
    summary["tokens"] = report.tokens;
    summary["restarts"] = report.restarts;
    summary["failed_pulls"] = report.failed_pulls;
    summary["idle_share"] = total > 0 ? in_seconds(report.waited) / total : 0;
    summary["staleness_mean"] =
        report.samples > 0 ? double(report.staleness_sum) / double(report.samples) : 0;
    summary["staleness_max"] = report.max_staleness;
    summary["step_seconds"] = report.step_seconds;
    return summary;
}

} // namespace

int main(int argc, char** argv)
{
    TCLAP::CmdLine line("Stand-in for a trainer", ' ', node::version());
    const TCLAP::ValueArg<std::string> job("j", "job", "Job to train", true, "", "NAME", line);
    const TCLAP::MultiArg<std::string> addresses("r", "rollout", "Addresses of vg-rollout", true, "IP:PORT",
                                                 line);
    const TCLAP::ValueArg<std::string> token("t", "token", "Trainer's token", true, "", "TOKEN", line);
    const TCLAP::ValueArg<int> steps("", "steps", "Steps to train", false, 3, "N", line);
    const TCLAP::ValueArg<int> train_ms("", "train-ms", "Time to train a step", false, 200, "MS", line);
    const TCLAP::ValueArg<int> pull("", "pull", "Most samples a pull", false, 32, "N", line);
    const TCLAP::ValueArg<int> version("", "weights", "Version at start", false, 1, "N", line);
    const TCLAP::ValueArg<int> give_up("", "give-up-s", "Longest run", false, 120, "S", line);
    const TCLAP::ValueArg<int> lose("", "lose-cursor-at", "Step in which the cursor is lost once", false, -1,
                                    "N", line);
    const TCLAP::ValueArg<int> lose_reply("", "lose-reply-at", "Step in which a reply is lost once", false,
                                          -1, "N", line);
    const TCLAP::ValueArg<std::string> out("o", "out", "File for the summary", false, "", "FILE", line);
    if (const auto end = node::parse_command_line(line, argc, argv)) {
        return end->code;
    }

    trainer_options options;
    options.job = job.getValue();
    options.addresses = addresses.getValue();
    options.token = token.getValue();
    options.steps = steps.getValue();
    options.train_time = milliseconds{train_ms.getValue()};
    options.pull_size = pull.getValue();
    options.version = static_cast<std::uint64_t>(version.getValue());
    options.lose_cursor_at = lose.getValue();
    options.lose_reply_at = lose_reply.getValue();
    options.run_timeout = seconds{give_up.getValue()};
    wire::set_http_threads(4);
    wire::event_loop loop;
    trainer run(options, loop);
    const bool finished = run.run();
    const auto summary = to_json(run, finished);
    if (out.isSet()) {
        std::ofstream(out.getValue()) << summary.dump(2) << "\n";
    }
    std::cout << summary.dump() << std::endl;
    return finished && run.report().duplicates == 0 ? node::exit_success : node::exit_failure;
}
