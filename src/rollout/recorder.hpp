/// Records the inputs and decisions of side-effect-free code as JSON lines, for replay.
#ifndef VANILLAGAUGE_ROLLOUT_RECORDER_HPP
#define VANILLAGAUGE_ROLLOUT_RECORDER_HPP

#include "base/clock.hpp"

#include <nlohmann/json.hpp>

#include <fstream>
#include <mutex>
#include <string>

namespace vanillagauge::rollout {

class recorder {
public:
    /// An empty path disables recording.
    recorder(const std::string& path, std::string vm);

    bool enabled() const { return enabled_; }
    /// Adds the VM and the time in microseconds; `subject` and `event` select the input on replay.
    void write(const char* subject, const char* event, time_point now, nlohmann::json fields);

private:
    const std::string vm_;
    bool enabled_ = false;
    std::mutex mutex_;
    std::ofstream file_;
};

} // namespace vanillagauge::rollout

#endif
