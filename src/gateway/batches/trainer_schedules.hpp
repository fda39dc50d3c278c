/// The schedules of all trainers, from the headers of the batches in the store.
#ifndef VANILLAGAUGE_GATEWAY_BATCHES_TRAINER_SCHEDULES_HPP
#define VANILLAGAUGE_GATEWAY_BATCHES_TRAINER_SCHEDULES_HPP

#include "gateway/batch.hpp"
#include "observe/metrics.hpp"
#include "policy/trainer_slack.hpp"
#include "policy/weight_load_plan.hpp"

#include <map>
#include <optional>
#include <string>

namespace vanillagauge::gateway {

class trainer_schedules {
public:
    /// A batch's header in the store is new or has changed.
    void update(const batch_header& header);
    /// Of the model's trainer; none if it has submitted no batch.
    std::optional<duration> slack(const std::string& model) const;
    /// What the plan of weight loads needs to know of the model.
    policy::model_schedule schedule_of(const std::string& model) const;
    /// Sets the gauges `trainer_slack_ms` and `trainer_behind_ms` of each model.
    void record(observe::metrics& counts) const;

private:
    policy::trainer_slack trainers_;
    std::map<std::string, std::uint64_t> newest_steps_; ///< by model
};

} // namespace vanillagauge::gateway

#endif
