/// The last line of a process that a fault ends.
#ifndef VANILLAGAUGE_OBSERVE_CRASH_REPORT_HPP
#define VANILLAGAUGE_OBSERVE_CRASH_REPORT_HPP

#include <cstddef>
#include <string_view>

namespace vanillagauge::observe {

/// From now on, a signal of a fault (SIGSEGV, SIGBUS, SIGFPE, SIGILL, SIGABRT) writes one JSON line to
/// standard error before it ends the process: the signal and the last inputs of the thread, newest first.
/// Call once, before other threads start.
void report_crashes(std::string_view program);

/// Memory on which this thread reports that its own stack is exhausted. Lives as long as the thread runs.
class crash_stack {
public:
    crash_stack();
    ~crash_stack();
    crash_stack(const crash_stack&) = delete;
    crash_stack& operator=(const crash_stack&) = delete;

private:
    void* memory_ = nullptr;
    std::size_t bytes_ = 0;
};

} // namespace vanillagauge::observe

#endif
