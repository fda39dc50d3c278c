/// Runs one job at its owner: connects the job's state to engines, scorers, the checkpoint and trainer pulls.
#ifndef VANILLAGAUGE_ROLLOUT_JOB_RUNNER_HPP
#define VANILLAGAUGE_ROLLOUT_JOB_RUNNER_HPP

#include "rollout/checkpoint_store.hpp"
#include "rollout/context.hpp"
#include "rollout/recorded_job.hpp"
#include "rollout/slot_generation.hpp"
#include "samples/samples.hpp"

#include "vanillagauge.pb.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <vector>

namespace vanillagauge::rollout {

class job_runner : public std::enable_shared_from_this<job_runner> {
public:
    using pull_done = std::function<void(result<v1::PullReply>)>;

    job_runner(const context& shared, config::job_spec spec);

    void pull(const v1::PullRequest& request, pull_done on_done);
    /// Cancels the running streams; waiting pulls fail with `draining` and a retry time.
    void stop();
    /// Starts streams where engines have capacity, resumes or races stragglers, stores the checkpoint.
    void tick();

    v1::JobStatusReply status() const;
    const config::job_spec& spec() const { return spec_; }

private:
    struct pull_options {
        std::uint64_t trainer_version = 0;
        std::size_t max_samples = 0;
        milliseconds wait{0};
        bool restarted = false;
    };
    struct waiting_pull {
        std::uint64_t ticket = 0;
        samples::cursor position;
        pull_options options;
        pull_done on_done;
    };
    struct stream_start {
        std::shared_ptr<slot_generation> generation;
        std::string address;
    };
    using pull_result = std::pair<pull_done, result<v1::PullReply>>;

    context context_;
    const config::job_spec spec_;
    /// Distinguishes this owner's streams from another owner's for the same sample.
    const std::string stream_prefix_;
    std::shared_ptr<checkpoint_store> checkpoint_;
    mutable std::mutex mutex_;
    recorded_job job_;
    std::map<samples::attempt_id, std::shared_ptr<slot_generation>> streams_;
    std::deque<waiting_pull> waiting_;
    std::uint64_t next_ticket_ = 0;
    bool stopped_ = false;
    int total_weight_ = 1; ///< sum over all jobs at the deployment
    time_point total_weight_due_{};

    void recover_cursor(const v1::PullRequest& request, const pull_options& options, pull_done on_done);
    void pull_at(const samples::cursor& presented, const pull_options& options, pull_done on_done);
    v1::PullReply collect(const samples::cursor& position, const pull_options& options);
    void serve_waiting();
    void expire(std::uint64_t ticket);

    void start_streams();
    void rescue_stragglers();
    std::optional<stream_start> start_next(engine_pool& engines, int share);
    std::optional<stream_start> start_race(engine_pool& engines, const samples::attempt& first);
    stream_start make_stream(const samples::attempt& stream, const engine_endpoint& endpoint);
    void launch(const std::vector<stream_start>& starts);
    void cancel_streams(const std::vector<samples::attempt>& ended);
    int capacity_share(engine_pool& engines);
    policy::sample_view view_of(const samples::slot_key& slot, std::uint64_t min_version) const;

    void on_chunk(samples::attempt_id id, const std::string& engine, const samples::chunk_info& chunk,
                  const std::string& text);
    void on_end(samples::attempt_id id, const std::string& engine, generation_end end,
                const std::string& detail);
    void on_complete(samples::attempt_id id);
    void score(samples::attempt_id id, const samples::slot_key& slot, samples::sample_content sample);
    void on_sample(samples::attempt_id id, samples::sample_content sample);
    std::string sample_id(const samples::slot_key& slot) const;
    const std::string& prompt(const samples::slot_key& slot) const;
};

} // namespace vanillagauge::rollout

#endif
