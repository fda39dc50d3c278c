/// A job_state whose events and their results are recorded.
#ifndef VANILLAGAUGE_ROLLOUT_RECORDED_JOB_HPP
#define VANILLAGAUGE_ROLLOUT_RECORDED_JOB_HPP

#include "policy/policy.hpp"
#include "rollout/recorder.hpp"
#include "samples/samples.hpp"

namespace vanillagauge::rollout {

class recorded_job {
public:
    recorded_job(recorder& log, const samples::job_shape& shape);

    // See samples::job_state.
    std::vector<samples::attempt> on_pull(const samples::cursor& position, std::uint64_t trainer_version);
    samples::delivery collect(const samples::cursor& position, std::uint64_t trainer_version,
                              std::size_t max_samples);
    samples::attempt begin(const samples::slot_key& slot, const std::string& engine, time_point now);
    std::optional<samples::attempt> race(const samples::slot_key& slot, const std::string& engine,
                                         time_point now);
    std::optional<samples::attempt> interrupt(samples::attempt_id id);
    bool on_chunk(samples::attempt_id id, const std::string& text, std::uint64_t version, int tokens,
                  time_point now);
    std::optional<samples::sample_content> on_generated(samples::attempt_id id,
                                                        std::vector<samples::attempt>& losers);
    void on_ready(samples::attempt_id id, samples::sample_content sample);
    void on_failed(samples::attempt_id id, bool keep);
    /// Decisions of the straggler policy; recorded where there are any.
    std::vector<policy::straggler_decision> stragglers(std::size_t free_capacity, time_point now);

    const samples::job_state& state() const { return state_; }

private:
    recorder& log_;
    samples::job_state state_;

    void record(const char* event, nlohmann::json fields);
};

} // namespace vanillagauge::rollout

#endif
