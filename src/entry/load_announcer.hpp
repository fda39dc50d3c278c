/// Tells the other VMs, through the keeper, how loaded this entry is.
#ifndef VANILLAGAUGE_ENTRY_LOAD_ANNOUNCER_HPP
#define VANILLAGAUGE_ENTRY_LOAD_ANNOUNCER_HPP

#include "entry/entry_service.hpp"

namespace vanillagauge::entry {

/// A coarse step that grows by one with each doubling of the requests held.
double load_step(double requests);

class load_announcer {
public:
    /// All that the context names outlives it.
    explicit load_announcer(const entry_context& context) : context_(context) {}

    /// Announces from now on, until the loop stops.
    void start();

private:
    entry_context context_;
    double smoothed_ = 0;
    double announced_ = 0;
};

} // namespace vanillagauge::entry

#endif
