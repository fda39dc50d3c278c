/// When a process that was told to stop serves on, takes no more, and ends.
#ifndef VANILLAGAUGE_POLICY_STOP_PLAN_HPP
#define VANILLAGAUGE_POLICY_STOP_PLAN_HPP

#include "base/clock.hpp"

#include <cstddef>
#include <string_view>

namespace vanillagauge::policy {

/// In the order in which a stop goes through them; none comes back.
enum class stop_step {
    serve,   ///< takes what callers send that have not heard of the stop yet
    finish,  ///< takes no connections and ends what it has taken
    give_up, ///< answers in its own name what will not be done in time
    end,     ///< nothing is under way, or the time is over
};

std::string_view name(stop_step step);

/// What a process still holds.
struct open_work {
    std::size_t connections = 0;
    std::size_t requests = 0;
    std::size_t batches = 0;
};

/// A stream that ends with the process is cut; of a whole answer at least its failure can be told.
enum class response_kind { complete, stream };

class stop_plan {
public:
    /// `grace`: from the order to stop to the end of the process by force.
    stop_plan(time_point began, milliseconds grace);

    /// The step from now on, asked again and again.
    stop_step advance(time_point now, const open_work& open);
    /// Whether a request that arrives now may be taken.
    bool accepts(time_point now, time_point deadline, response_kind form) const;

private:
    time_point callers_know_;
    time_point finish_at_;
    time_point answer_by_;
    time_point give_up_at_;
    stop_step step_ = stop_step::serve;
};

} // namespace vanillagauge::policy

#endif
