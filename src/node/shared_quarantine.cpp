#include "node/shared_quarantine.hpp"

namespace vanillagauge::node {

void shared_quarantine::on_crash(std::uint64_t fingerprint, const std::string& target, time_point started_at)
{
    {
        const std::lock_guard lock(mutex_);
        quarantine_.on_crash(fingerprint, target, started_at, steady::now());
    }
    if (on_update_) {
        on_update_();
    }
}

void shared_quarantine::on_answer(std::uint64_t fingerprint)
{
    const std::lock_guard lock(mutex_);
    quarantine_.on_answer(fingerprint, steady::now());
}

void shared_quarantine::merge(const std::vector<policy::crash_record>& records)
{
    bool changed = false;
    {
        const std::lock_guard lock(mutex_);
        changed = quarantine_.merge(records, steady::now());
    }
    if (changed && on_update_) {
        on_update_();
    }
}

result<done> shared_quarantine::check(std::uint64_t fingerprint) const
{
    const std::lock_guard lock(mutex_);
    return quarantine_.check(fingerprint, steady::now());
}

std::vector<policy::crash_record> shared_quarantine::records() const
{
    const std::lock_guard lock(mutex_);
    return quarantine_.records(steady::now());
}

} // namespace vanillagauge::node
