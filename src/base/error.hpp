/// The error type of all operations.
#ifndef VANILLAGAUGE_BASE_ERROR_HPP
#define VANILLAGAUGE_BASE_ERROR_HPP

#include "base/clock.hpp"

#include <string>
#include <string_view>

namespace vanillagauge {

enum class error_code {
    invalid_argument,
    unauthenticated,
    permission_denied,
    not_found,
    conflict,
    overloaded,
    deadline_exceeded,
    unavailable,
    incomplete,
    expired_key,
    wrong_node,
    quarantined,
    stale_cursor,
    forged_cursor,
    too_large,
    unimplemented,
    cancelled,
    draining,
    internal,
};

/// Whether the failed operation was executed. `not_run` is guaranteed; an unknown outcome is `in_doubt`.
enum class run_state { not_run, ran, in_doubt };

struct error {
    error_code code = error_code::internal;
    run_state ran = run_state::not_run;
    std::string detail{};
    milliseconds retry_after{0}; ///< 0: none given
    std::string redirect{};      ///< the address to use instead, for wrong_node
    std::string current{};       ///< the current object as JSON, for conflict
};

/// The code's name on the wire and in logs.
std::string_view name(error_code code);
std::string_view name(run_state state);

/// `internal` and `in_doubt` for an unknown name.
error_code parse_error_code(std::string_view text);
run_state parse_run_state(std::string_view text);

/// One line for logs and the command line.
std::string describe(const error& failure);

} // namespace vanillagauge

#endif
