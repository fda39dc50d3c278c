#include "samples/checkpoint.hpp"

namespace vanillagauge::samples {

void checkpoint_writer::advance(const checkpoint& record)
{
    if (record.step > newest_.step) {
        newest_ = record;
    }
}

void checkpoint_writer::on_written(std::uint64_t object_version)
{
    pending_ = false;
    stored_ = writing_;
    object_version_ = object_version;
}

// Another owner may have written a later step: it stands, since steps only grow.
void checkpoint_writer::on_read(const std::optional<checkpoint>& stored, std::uint64_t object_version)
{
    pending_ = false;
    loaded_ = true;
    stored_ = stored;
    object_version_ = object_version;
    if (stored) {
        advance(*stored);
    }
}

// The outcome of a failed write is unknown: it may have taken effect, so its object version is stale here and
// the next write would conflict for ever. Reading first settles it.
void checkpoint_writer::on_failed(time_point now)
{
    pending_ = false;
    loaded_ = false;
    not_before_ = now + retry_delay;
}

bool checkpoint_writer::begin_read(time_point now)
{
    if (pending_ || loaded_ || now < not_before_) {
        return false;
    }
    pending_ = true;
    return true;
}

std::optional<checkpoint_write> checkpoint_writer::begin_write(time_point now)
{
    const bool due = loaded_ && newest_.step > (stored_ ? stored_->step : 0);
    if (pending_ || !due || now < not_before_) {
        return std::nullopt;
    }
    pending_ = true;
    writing_ = newest_;
    return checkpoint_write{newest_, object_version_};
}

// Two cases could double a step and are refused instead. The store cannot be read: this owner may have slept
// through a successor's steps, so its own memory proves nothing. The trainer has published since the newest
// record: it has trained on a step whose acknowledgement nobody holds. In both, the trainer's own records
// (`begin_step`) settle it.
result<std::int64_t> recovery_step(const cursor_recovery& facts)
{
    if (facts.begin_step) {
        return *facts.begin_step;
    }
    if (!ok(facts.stored)) {
        return error{error_code::unavailable, run_state::not_run,
                     "the checkpoint cannot be read, and without it a lost cursor could double a step; name "
                     "begin_step or come back",
                     seconds{1}};
    }
    checkpoint newest = facts.in_memory;
    const auto& stored = value(facts.stored);
    if (stored && stored->step >= newest.step) {
        newest = *stored;
    }
    if (newest.step > 0 && facts.trainer_version > newest.trainer_version) {
        return error{error_code::stale_cursor, run_state::not_run,
                     "the trainer has published version " + std::to_string(facts.trainer_version) +
                         " since the checkpoint of step " + std::to_string(newest.step) + " at version " +
                         std::to_string(newest.trainer_version) + "; name begin_step"};
    }
    return newest.step;
}

} // namespace vanillagauge::samples
