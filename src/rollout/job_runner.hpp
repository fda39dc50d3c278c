/// One job at its owner: fills the slots of the current step and answers the trainer's pulls.
#ifndef VANILLAGAUGE_ROLLOUT_JOB_RUNNER_HPP
#define VANILLAGAUGE_ROLLOUT_JOB_RUNNER_HPP

#include "rollout/context.hpp"
#include "rollout/slot_generation.hpp"
#include "samples/samples.hpp"

#include "vanillagauge.pb.h"

#include <deque>
#include <functional>
#include <memory>
#include <mutex>
#include <vector>

namespace vanillagauge::rollout {

class job_runner : public std::enable_shared_from_this<job_runner> {
public:
    using pull_done = std::function<void(result<v1::PullReply>)>;

    job_runner(const context& shared, config::job_spec spec);

    // Commands.
    void pull(const v1::PullRequest& request, pull_done on_done);
    /// Cancels what is running; waiting pulls are sent elsewhere.
    void stop();
    /// Starts whatever an engine has room for.
    void pump();

    // Queries.
    v1::JobStatusReply status() const;
    const config::job_spec& spec() const { return spec_; }
    std::uint64_t announced_version() const;

private:
    enum class slot_state { idle, running, ready };
    struct slot {
        slot_state state = slot_state::idle;
        generated product;
        std::shared_ptr<slot_generation> running;
    };
    struct waiting_pull {
        std::uint64_t ticket = 0;
        samples::cursor position;
        std::size_t most = 0;
        pull_done on_done;
    };
    struct start_order {
        std::shared_ptr<slot_generation> generation;
        std::string address;
    };

    context context_;
    const config::job_spec spec_;
    mutable std::mutex mutex_;
    std::int64_t step_ = 0;
    std::vector<slot> slots_;
    std::deque<waiting_pull> waiting_;
    std::uint64_t next_ticket_ = 0;
    std::uint64_t trainer_version_ = 0;
    std::int64_t discarded_ = 0;
    std::int64_t wasted_tokens_ = 0;
    std::int64_t delivered_ = 0;
    bool stopped_ = false;

    result<samples::cursor> position_of(const v1::PullRequest& request) const;
    void advance_to(std::int64_t step);
    void discard_stale();
    v1::PullReply collect(const samples::cursor& position, std::size_t most);
    void answer_waiting();
    void expire(std::uint64_t ticket);
    std::optional<start_order> prepare(std::size_t place, node::target_group& engines);
    void on_generated(std::int64_t step, std::size_t place, result<generated> outcome);
    std::string sample_id(std::int64_t step, std::size_t place) const;
    const std::string& prompt(std::int64_t step, std::size_t place) const;
};

} // namespace vanillagauge::rollout

#endif
