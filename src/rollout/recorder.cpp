#include "rollout/recorder.hpp"

namespace vanillagauge::rollout {

recorder::recorder(const std::string& path, std::string vm) : vm_(std::move(vm)), enabled_(!path.empty())
{
    if (enabled_) {
        file_.open(path, std::ios::app);
    }
}

void recorder::write(const char* subject, const char* event, time_point now, nlohmann::json fields)
{
    fields["vm"] = vm_;
    fields["subject"] = subject;
    fields["event"] = event;
    fields["us"] = std::chrono::duration_cast<std::chrono::microseconds>(now.time_since_epoch()).count();
    const std::lock_guard lock(mutex_);
    file_ << fields.dump() << "\n" << std::flush;
}

} // namespace vanillagauge::rollout
