/// Decides which window the holder of the duty fixes or sends next.
#ifndef VANILLAGAUGE_USAGE_REPORT_PLAN_HPP
#define VANILLAGAUGE_USAGE_REPORT_PLAN_HPP

#include "usage/report_log.hpp"
#include "usage/window.hpp"

#include <variant>

namespace vanillagauge::usage {

struct report_times {
    milliseconds window{0};   ///< length of a window; 0: usage is not reported
    milliseconds due{10000};  ///< after a window's end its report is due
    milliseconds close{3000}; ///< after a window's end its counts have arrived
};

struct report_state {
    report_log log{};               ///< as stored, with what the platform has accepted since
    std::uint64_t first_window = 0; ///< the first one to report where none is stored
};

struct wait_for_window {};
/// Fix the numbers of the window in the store.
struct close_window {
    std::uint64_t window = 0;
};
/// Send the stored report of the window.
struct send_report {
    std::uint64_t window = 0;
};
using report_action = std::variant<wait_for_window, close_window, send_report>;

/// The most urgent action: reports in order of their windows.
report_action next_report_action(const report_state& state, const report_times& times, wall_time now);

/// Counts older than this are of no more use.
std::uint64_t oldest_useful_window(const report_times& times, wall_time now);

} // namespace vanillagauge::usage

#endif
