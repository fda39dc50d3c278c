/// State machine of a job at its owner: which slots of its steps are idle, running or ready.
#ifndef VANILLAGAUGE_SAMPLES_JOB_STATE_HPP
#define VANILLAGAUGE_SAMPLES_JOB_STATE_HPP

#include "base/base.hpp"
#include "samples/cursor.hpp"
#include "samples/sample_content.hpp"

#include <deque>
#include <map>
#include <optional>
#include <vector>

namespace vanillagauge::samples {

struct job_shape {
    std::string job;
    std::size_t group_size = 1;
    std::size_t groups = 1;
    int max_staleness = 0;        ///< in weight versions, at the pull
    int planned_staleness = 0;    ///< in versions, at the pull: the bound when a later step is started
    int lookahead = 0;            ///< steps generated beyond the trainer's
    bool full_steps_only = false; ///< deliver a step only when all its slots are ready

    std::size_t slots() const { return group_size * groups; }
};

using attempt_id = std::uint64_t;

/// One stream of an engine for a slot.
struct attempt {
    attempt_id id = 0;
    slot_key slot;
    std::string engine;
    sample_content so_far;
    int resumed_tokens = 0; ///< tokens of `so_far` from earlier attempts
    time_point started;
    time_point last_progress; ///< when the last chunk arrived
    bool generated = false;   ///< complete, waiting for its score
};

struct candidate_slot {
    slot_key slot;
    std::uint64_t min_version = 0; ///< with older weights the sample would exceed the staleness bound
};

struct delivered {
    slot_key slot;
    sample_content sample;
};

struct delivery {
    std::vector<delivered> samples;
    cursor next;
    bool step_complete = false;
};

struct job_counts {
    std::int64_t delivered = 0;
    std::int64_t discarded_stale = 0;
    std::int64_t wasted_tokens = 0; ///< generated, but never delivered
    std::int64_t cancelled = 0;
    std::int64_t resumed = 0;
    std::int64_t raced = 0;
};

class job_state {
public:
    explicit job_state(job_shape shape);

    /// Moves the window to the position of a pull by a trainer at this weight version. Returns the streams to
    /// cancel: of closed steps, of acknowledged slots, and too stale for delivery.
    std::vector<attempt> on_pull(const cursor& position, std::uint64_t trainer_version);
    /// The ready samples that the position lacks and that are fresh for the version stated in this request.
    delivery collect(const cursor& position, std::uint64_t trainer_version, std::size_t max_samples);
    /// Starts a stream, which resumes from the partial content that an earlier one left.
    attempt begin(const slot_key& slot, const std::string& engine, time_point now);
    /// Starts a second stream from the text that the running one has produced so far.
    std::optional<attempt> race(const slot_key& slot, const std::string& engine, time_point now);
    /// Ends the stream; the slot keeps its text and spans for the next one.
    std::optional<attempt> interrupt(attempt_id id);
    /// False where the attempt has been cancelled; the chunk is ignored.
    bool on_chunk(attempt_id id, const std::string& text, std::uint64_t version, int tokens, time_point now);
    /// The stream is complete; adds the slot's other streams, to be cancelled, to `losers`. Empty where the
    /// attempt has been cancelled itself.
    std::optional<sample_content> on_generated(attempt_id id, std::vector<attempt>& losers);
    /// The sample is ready: scored, or not to be scored.
    void on_ready(attempt_id id, sample_content sample);
    /// The stream failed. `keep`: its content is valid, and the slot resumes from it.
    void on_failed(attempt_id id, bool keep);

    /// The current position of the cursor; `stale_cursor` where it is of another job or a closed step, or has
    /// another number of slots.
    result<cursor> resolve(const cursor& presented) const;
    /// The first slot, in the order of steps, that is neither filled nor running.
    std::optional<candidate_slot> next_slot() const;
    std::vector<attempt> running() const;
    std::optional<attempt> find(attempt_id id) const;
    std::int64_t step() const { return step_; }
    std::uint64_t trainer_version() const { return trainer_version_; }
    /// Slots of the step that are ready or acknowledged.
    std::size_t filled_slots(std::int64_t step) const;
    std::size_t in_flight() const { return attempts_.size(); }
    /// Median rate of recently completed streams in tokens per second; 0: none completed.
    double median_rate() const;
    const job_counts& counts() const { return counts_; }
    const job_shape& shape() const { return shape_; }

private:
    struct slot_state {
        std::optional<sample_content> ready;
        sample_content partial; ///< what an interrupted stream left
        int streams = 0;
        bool delivered = false;    ///< in a reply, which may have been lost
        bool acknowledged = false; ///< by the latest cursor

        bool filled() const { return ready.has_value() || acknowledged; }
    };
    using step_slots = std::vector<slot_state>;

    job_shape shape_;
    std::int64_t step_ = 0;
    std::uint64_t trainer_version_ = 0;
    std::map<std::int64_t, step_slots> steps_;
    std::map<attempt_id, attempt> attempts_;
    attempt_id next_attempt_ = 1;
    std::deque<double> rates_; ///< of the last completed streams, in tokens per second
    job_counts counts_;

    void open_window();
    slot_state* find_slot(const slot_key& key);
    bool fresh_at_pull(const sample_content& sample, std::int64_t step) const;
    void count_wasted(int tokens) { counts_.wasted_tokens += tokens; }
    attempt remove_attempt(attempt_id id);
    std::vector<attempt> close_steps_before(std::int64_t step);
    std::vector<attempt> acknowledge(const cursor& position);
    std::vector<attempt> cancel(const std::vector<attempt_id>& streams);
    std::vector<attempt> cancel_stale();
    void discard_stale();
    attempt add_attempt(const slot_key& slot, const std::string& engine, sample_content from, time_point now);
};

} // namespace vanillagauge::samples

#endif
