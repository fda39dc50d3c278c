#include "node/shared_quarantine.hpp"

namespace vanillagauge::node {

void shared_quarantine::on_crash(std::uint64_t fingerprint, const std::string& target, time_point began)
{
    {
        const std::lock_guard lock(mutex_);
        held_.on_crash(fingerprint, target, began, steady::now());
    }
    if (handler_) {
        handler_();
    }
}

void shared_quarantine::on_answer(std::uint64_t fingerprint)
{
    const std::lock_guard lock(mutex_);
    held_.on_answer(fingerprint, steady::now());
}

void shared_quarantine::merge(const std::vector<policy::crash_record>& records)
{
    bool learnt = false;
    {
        const std::lock_guard lock(mutex_);
        learnt = held_.merge(records, steady::now());
    }
    if (learnt && handler_) {
        handler_();
    }
}

result<done> shared_quarantine::check(std::uint64_t fingerprint) const
{
    const std::lock_guard lock(mutex_);
    return held_.check(fingerprint, steady::now());
}

std::vector<policy::crash_record> shared_quarantine::shared() const
{
    const std::lock_guard lock(mutex_);
    return held_.records(steady::now());
}

} // namespace vanillagauge::node
