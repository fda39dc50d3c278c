/// Announces the load of this entry process to the other VMs through the keeper.
#ifndef VANILLAGAUGE_ENTRY_LOAD_ANNOUNCER_HPP
#define VANILLAGAUGE_ENTRY_LOAD_ANNOUNCER_HPP

#include "entry/entry_service.hpp"

namespace vanillagauge::entry {

/// A coarse load level: grows by one with each doubling of the outstanding requests.
double load_step(double requests);

class load_announcer {
public:
    /// The objects that the context references must outlive it.
    explicit load_announcer(const entry_context& context) : context_(context) {}

    /// Announces load changes periodically, until the loop stops.
    void start();

private:
    entry_context context_;
    double smoothed_ = 0;
    double announced_ = 0;
};

} // namespace vanillagauge::entry

#endif
