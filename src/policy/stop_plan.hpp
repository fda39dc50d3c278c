/// Steps of a graceful shutdown: serve, finish, give up, end.
#ifndef VANILLAGAUGE_POLICY_STOP_PLAN_HPP
#define VANILLAGAUGE_POLICY_STOP_PLAN_HPP

#include "base/clock.hpp"

#include <cstddef>
#include <string_view>

namespace vanillagauge::policy {

/// In order; a shutdown never returns to an earlier step.
enum class stop_step {
    serve,   ///< still accepts requests of callers that don't know of the shutdown yet
    finish,  ///< accepts no connections and completes accepted requests
    give_up, ///< responds with an error to requests that can't complete in time
    end,     ///< no work left, or the time is over
};

std::string_view name(stop_step step);

/// Work in progress in the process.
struct open_work {
    std::size_t connections = 0;
    std::size_t requests = 0;
    std::size_t batches = 0;
};

/// A stream that ends with the process is cut off; a complete response can still be replaced by an error.
enum class response_kind { complete, stream };

class stop_plan {
public:
    /// `grace`: time from the stop request until the process is killed.
    stop_plan(time_point began, milliseconds grace);

    /// Returns the step, the next one if it is due.
    stop_step advance(time_point now, const open_work& open);
    /// Whether to accept a request that arrives now.
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
