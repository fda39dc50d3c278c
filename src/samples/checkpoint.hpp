/// One stored record per step, from which a trainer that has lost its cursor is served.
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
    std::uint64_t expected_version = 0; ///< of the stored object; 0: it does not exist
};

/// Decides what is written: one write at a time, always the newest step, and never an older step over a
/// newer one.
class checkpoint_writer {
public:
    /// Takes the record over if its step is newer.
    void advance(const checkpoint& record);
    void on_written(std::uint64_t object_version);
    /// The stored record, read at the start, after a conflict, or after a write with an unknown outcome.
    void on_read(const std::optional<checkpoint>& stored, std::uint64_t object_version);
    /// The read or write failed; after `retry_delay` the record is read again.
    void on_failed(time_point now);

    /// True where the record is to be read now; report the outcome to `on_read` or `on_failed`.
    bool begin_read(time_point now);
    /// The write that is due; report its outcome to `on_written` or `on_failed`.
    std::optional<checkpoint_write> begin_write(time_point now);

    const checkpoint& newest() const { return newest_; }
    std::int64_t recorded_step() const { return stored_ ? stored_->step : 0; }
    bool up_to_date() const { return stored_.has_value() && *stored_ == newest_; }

private:
    static constexpr milliseconds retry_delay{1000};
    checkpoint newest_;
    std::optional<checkpoint> stored_;
    std::optional<checkpoint> writing_;
    std::uint64_t object_version_ = 0;
    bool loaded_ = false; ///< the stored object's version is known
    bool pending_ = false;
    time_point backoff_until_{};
};

/// The facts from which a trainer's lost cursor is recovered.
struct cursor_recovery {
    std::uint64_t trainer_version = 0;
    std::optional<std::int64_t> begin_step; ///< stated by the trainer
    checkpoint in_memory;                   ///< of this owner
    result<std::optional<checkpoint>> stored;
};

/// The step to serve from its start; `unavailable` or `stale_cursor` where any step could be served twice or
/// skipped.
result<std::int64_t> recovery_step(const cursor_recovery& facts);

} // namespace vanillagauge::samples

#endif
