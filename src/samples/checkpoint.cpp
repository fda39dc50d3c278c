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

// Another owner may have stored a later step; steps never decrease, so the later one is kept.
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

// A failed write may have taken effect. The object version held here would then be outdated and each further
// write would conflict, so the record is read first.
void checkpoint_writer::on_failed(time_point now)
{
    pending_ = false;
    loaded_ = false;
    backoff_until_ = now + retry_delay;
}

bool checkpoint_writer::begin_read(time_point now)
{
    if (pending_ || loaded_ || now < backoff_until_) {
        return false;
    }
    pending_ = true;
    return true;
}

std::optional<checkpoint_write> checkpoint_writer::begin_write(time_point now)
{
    const bool due = loaded_ && newest_.step > (stored_ ? stored_->step : 0);
    if (pending_ || !due || now < backoff_until_) {
        return std::nullopt;
    }
    pending_ = true;
    writing_ = newest_;
    return checkpoint_write{newest_, object_version_};
}

// Two cases could serve a step twice and are refused. The store cannot be read: this owner may have been
// suspended while a successor served later steps. The trainer has published a version since the newest
// record: it has trained on a step that it did not acknowledge. In both the trainer must state `begin_step`.
result<std::int64_t> recovery_step(const cursor_recovery& facts)
{
    if (facts.begin_step) {
        return *facts.begin_step;
    }
    if (!ok(facts.stored)) {
        return error{error_code::unavailable, run_state::not_run,
                     "the checkpoint cannot be read, and without it a step could be served twice; set "
                     "begin_step or retry",
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
                         std::to_string(newest.trainer_version) + "; set begin_step"};
    }
    return newest.step;
}

} // namespace vanillagauge::samples
