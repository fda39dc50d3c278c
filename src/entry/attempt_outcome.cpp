#include "entry/attempt_outcome.hpp"

#include <algorithm>

namespace vanillagauge::entry {
namespace {

int certainty(run_state state)
{
    switch (state) {
    case run_state::not_run:
        return 0;
    case run_state::in_doubt:
        return 1;
    case run_state::ran:
        return 2;
    }
    return 1;
}

} // namespace

policy::attempt_result attempt_result_of(const error& failure)
{
    switch (failure.code) {
    case error_code::draining:
        return policy::attempt_result::draining;
    case error_code::unavailable:
    case error_code::incomplete:
    case error_code::internal:
    case error_code::deadline_exceeded:
    case error_code::overloaded:
        return policy::attempt_result::failed;
    case error_code::cancelled:
        return policy::attempt_result::unknown;
    default:
        return policy::attempt_result::answered; // the target is healthy: it rejected the request
    }
}

bool looks_like_crash(const error& failure)
{
    return failure.code == error_code::unavailable && failure.ran == run_state::in_doubt;
}

// A last attempt refused as not_run must not hide that an earlier attempt may have run.
run_state more_certain(run_state left, run_state right)
{
    return certainty(left) < certainty(right) ? right : left;
}

} // namespace vanillagauge::entry
