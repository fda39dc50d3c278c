#include "policy/stop_plan.hpp"

#include <algorithm>

namespace vanillagauge::policy {
namespace {

/// The end of the grace period, for notifying other processes and for the exit itself.
constexpr milliseconds end_reserve{1200};
/// Callers cache addresses for this long; closing sooner would refuse their connections.
constexpr milliseconds advice_time{2500};
/// For completing the requests accepted until then.
constexpr milliseconds finish_time{2000};
/// For delivering the last responses.
constexpr milliseconds give_up_time{300};

} // namespace

std::string_view name(stop_step step)
{
    switch (step) {
    case stop_step::serve:
        return "serve";
    case stop_step::finish:
        return "finish";
    case stop_step::give_up:
        return "give_up";
    case stop_step::end:
        break;
    }
    return "end";
}

stop_plan::stop_plan(time_point began, milliseconds grace) : callers_know_(began + advice_time)
{
    const duration stay = std::max(grace - end_reserve, milliseconds{0});
    give_up_at_ = began + stay;
    finish_at_ = give_up_at_ - std::min<duration>(finish_time, stay / 2);
    answer_by_ = finish_at_ + (give_up_at_ - finish_at_) / 2;
}

// An idle process may still receive work, so it ends only from a step in which it accepts none.
stop_step stop_plan::advance(time_point now, const open_work& open)
{
    const bool busy = open.requests > 0 || open.batches > 0;
    const bool holds_any = busy || open.connections > 0;
    if (step_ == stop_step::serve && (now >= finish_at_ || (now >= callers_know_ && !busy))) {
        step_ = stop_step::finish;
        return step_;
    }
    if (step_ == stop_step::finish && (now >= give_up_at_ || !holds_any)) {
        step_ = holds_any ? stop_step::give_up : stop_step::end;
        return step_;
    }
    if (step_ == stop_step::give_up && (now >= give_up_at_ + give_up_time || open.connections == 0)) {
        step_ = stop_step::end;
    }
    return step_;
}

bool stop_plan::accepts(time_point now, time_point deadline, response_kind form) const
{
    const auto latest = form == response_kind::complete ? answer_by_ : callers_know_;
    return deadline <= give_up_at_ || now < latest;
}

} // namespace vanillagauge::policy
