/// The one record a step that serves a trainer which has lost its cursor.
#ifndef VANILLAGAUGE_SAMPLES_CHECKPOINT_HPP
#define VANILLAGAUGE_SAMPLES_CHECKPOINT_HPP

#include "base/base.hpp"

#include <cstdint>
#include <optional>

namespace vanillagauge::samples {

/// The trainer has acknowledged every step before `step`, and had published `trainer_version` by then.
struct checkpoint {
    std::int64_t step = 0;
    std::uint64_t trainer_version = 0;

    friend bool operator==(const checkpoint&, const checkpoint&) = default;
};

struct checkpoint_write {
    checkpoint record;
    std::uint64_t expected_version = 0; ///< of the stored object; 0: there is none
};

/// Decides what is written: at most one write at a time, always the newest step, never an older one over a
/// newer.
class checkpoint_writer {
public:
    // Events.
    void advance(const checkpoint& record);
    void on_written(std::uint64_t object_version);
    /// What is stored now: after a conflict, after a write whose outcome is unknown, or at the start.
    void on_read(const std::optional<checkpoint>& stored, std::uint64_t object_version);
    /// The store did not answer; the write is tried again after `retry_pause`.
    void on_failed(time_point now);

    // Decisions; each is to be followed by the event that answers it.
    bool begin_read(time_point now);
    std::optional<checkpoint_write> begin_write(time_point now);

    // Queries.
    const checkpoint& newest() const { return newest_; }
    std::int64_t recorded_step() const { return stored_ ? stored_->step : 0; }
    bool up_to_date() const { return stored_.has_value() && *stored_ == newest_; }

private:
    static constexpr milliseconds retry_delay{1000};
    checkpoint newest_;
    std::optional<checkpoint> stored_;
    std::optional<checkpoint> writing_;
    std::uint64_t object_version_ = 0;
    bool loaded_ = false; ///< what the store holds has been read or written
    bool pending_ = false;
    time_point not_before_{};
};

/// What a trainer without a cursor gets.
struct cursor_recovery {
    std::uint64_t trainer_version = 0;
    std::optional<std::int64_t> begin_step; ///< the trainer's own records name the step
    checkpoint in_memory;                   ///< this owner's memory
    result<std::optional<checkpoint>> stored;
};

/// The step to serve from its start. An error where serving any step could double or lose one.
result<std::int64_t> recovery_step(const cursor_recovery& facts);

} // namespace vanillagauge::samples

#endif
