#include "gateway/batches/trainer_schedules.hpp"

#include "observe/log.hpp"

namespace vanillagauge::gateway {
namespace {

std::int64_t in_ms(duration time)
{
    return std::chrono::duration_cast<milliseconds>(time).count();
}

} // namespace

void trainer_schedules::update(const batch_header& header)
{
    trainers_.observe(
        {header.model, header.step, header.accepted, header.accepted + header.result_time, header.ended});
    const auto [newest, first] = newest_steps_.try_emplace(header.model, header.step);
    if (!first && header.step <= newest->second) {
        return;
    }
    newest->second = header.step;
    observe::log(observe::log_level::info, "trainer_schedule",
                 {{"batch", header.id},
                  {"model", header.model},
                  {"step", static_cast<std::int64_t>(header.step)},
                  {"slack_ms", in_ms(slack(header.model).value_or(duration{0}))},
                  {"behind_ms", in_ms(trainers_.behind(header.model))},
                  {"interval_ms", in_ms(trainers_.interval(header.model).value_or(duration{0}))}});
}

std::optional<duration> trainer_schedules::slack(const std::string& model) const
{
    return trainers_.slack(model, std::chrono::system_clock::now());
}

policy::model_schedule trainer_schedules::schedule_of(const std::string& model) const
{
    const auto now = std::chrono::system_clock::now();
    return {trainers_.slack(model, now), trainers_.next_version_in(model, now)};
}

void trainer_schedules::record(observe::metrics& counts) const
{
    for (const auto& model : trainers_.models()) {
        const auto labels = "{model=\"" + model + "\"}";
        counts.set("trainer_slack_ms" + labels,
                   static_cast<double>(in_ms(slack(model).value_or(duration{0}))));
        counts.set("trainer_behind_ms" + labels, static_cast<double>(in_ms(trainers_.behind(model))));
    }
}

} // namespace vanillagauge::gateway
