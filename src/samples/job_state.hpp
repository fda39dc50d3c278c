/// A job's steps at one owner: which slots are idle, running or ready, and what each event makes of them.
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
    int planned_staleness = 0;    ///< how old a sample of a later step may be planned to be at its pull
    int lookahead = 0;            ///< how many steps after the trainer's are generated
    bool full_steps_only = false; ///< deliver a step only when all of it is ready

    std::size_t slots() const { return group_size * groups; }
};

using attempt_id = std::uint64_t;

/// One stream of an engine for a slot.
struct attempt {
    attempt_id id = 0;
    slot_key slot;
    std::string engine;
    sample_content so_far;
    int resumed_tokens = 0; ///< tokens of `so_far` that earlier attempts made
    time_point started;
    time_point last_progress; ///< when its last chunk came
    bool generated = false;   ///< whole, and with the scorer
};

struct candidate_slot {
    slot_key slot;
    std::uint64_t min_version = 0; ///< an engine with older weights could not make the bound
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
    std::int64_t wasted_tokens = 0; ///< generated, and never to be delivered
    std::int64_t cancelled = 0;
    std::int64_t resumed = 0;
    std::int64_t raced = 0;
};

class job_state {
public:
    explicit job_state(job_shape shape);

    // Events. Those that return attempts name the streams to cancel.
    /// A pull at this position by a trainer with these weights: the window follows, what cannot be delivered
    /// in time ends early.
    std::vector<attempt> on_pull(const cursor& position, std::uint64_t trainer_version);
    /// Takes what the position lacks. Judged against the version the trainer stated in this very request.
    delivery collect(const cursor& position, std::uint64_t trainer_version, std::size_t max_samples);
    /// Starts a stream at the engine; it goes on from what an earlier one left.
    attempt begin(const slot_key& slot, const std::string& engine, time_point now);
    /// A second stream beside the running one, from the same text.
    std::optional<attempt> race(const slot_key& slot, const std::string& engine, time_point now);
    /// Ends the stream so that the slot goes on elsewhere with its text and spans.
    std::optional<attempt> interrupt(attempt_id id);
    /// False where the attempt has been cancelled: its chunk counts for nothing.
    bool on_chunk(attempt_id id, const std::string& text, std::uint64_t version, int tokens, time_point now);
    /// Its stream ended whole; what races it is to be cancelled. Empty product: it was too late itself.
    std::optional<sample_content> on_generated(attempt_id id, std::vector<attempt>& losers);
    /// Scored, or not to be scored: the sample is ready.
    void on_ready(attempt_id id, sample_content sample);
    /// The stream broke. `keep`: what came so far is sound, and the slot resumes from it.
    void on_failed(attempt_id id, bool keep);

    // Queries.
    /// What the cursor says of this job now: `stale_cursor` for another job's, an old one, an old form.
    result<cursor> resolve(const cursor& presented) const;
    /// The first slot that waits for an engine, in the order of steps.
    std::optional<candidate_slot> next_slot() const;
    std::vector<attempt> running() const;
    std::optional<attempt> find(attempt_id id) const;
    std::int64_t step() const { return step_; }
    std::uint64_t trainer_version() const { return trainer_version_; }
    /// How many of the step's slots need no more work.
    std::size_t filled_slots(std::int64_t step) const;
    std::size_t in_flight() const { return attempts_.size(); }
    /// Tokens a second of the streams that ended whole lately: their median; 0: none did.
    double median_rate() const;
    const job_counts& counts() const { return counts_; }
    const job_shape& shape() const { return shape_; }

private:
    struct slot_state {
        std::optional<sample_content> ready;
        sample_content partial; ///< what an interrupted stream left
        int streams = 0;
        bool delivered = false;    ///< in some reply, which may have been lost
        bool acknowledged = false; ///< by the cursor presented last

        bool filled() const { return ready.has_value() || acknowledged; }
    };
    using step_slots = std::vector<slot_state>;

    job_shape shape_;
    std::int64_t step_ = 0;
    std::uint64_t trainer_version_ = 0;
    std::map<std::int64_t, step_slots> steps_;
    std::map<attempt_id, attempt> attempts_;
    attempt_id next_attempt_ = 1;
    std::deque<double> rates_; ///< of the last streams that ended whole
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
