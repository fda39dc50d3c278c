/// Estimates from the headers of trainers' batches how long each trainer can still wait for its results.
#ifndef VANILLAGAUGE_POLICY_TRAINER_SLACK_HPP
#define VANILLAGAUGE_POLICY_TRAINER_SLACK_HPP

#include "base/clock.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace vanillagauge::policy {

using wall_time = std::chrono::system_clock::time_point;

/// The header of a batch, as far as it describes the trainer.
struct trainer_batch {
    std::string model;
    std::uint64_t step = 0;
    wall_time accepted{};
    wall_time due{}; ///< when the results are due
    bool ended = false;
};

class trainer_slack {
public:
    /// Headers may come in any order and more than once.
    void observe(const trainer_batch& batch);

    /// Time until the trainer is idle: until its oldest open step is due on the trainer's own schedule.
    /// Negative once it is idle; none if no batch of the model is known.
    std::optional<duration> slack(const std::string& model, wall_time now) const;
    /// How far the newest step was accepted behind the trainer's own schedule; 0 if not known.
    duration behind(const std::string& model) const;
    /// Interval at which the trainer submits steps in calm periods; none until it is known.
    std::optional<duration> interval(const std::string& model) const;
    /// Time until the trainer announces its next version, not negative; none if it is not known.
    std::optional<duration> next_version_in(const std::string& model, wall_time now) const;
    std::vector<std::string> models() const;

private:
    struct step_times {
        wall_time accepted{};
        wall_time due{};
        bool ended = false;
    };
    struct trainer {
        std::map<std::uint64_t, step_times> steps; ///< the newest ones
        std::optional<duration> interval;
        duration behind{0};
    };
    std::map<std::string, trainer> trainers_; ///< by model

    static void reckon(trainer& known);
};

} // namespace vanillagauge::policy

#endif
