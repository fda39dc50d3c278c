/// Usage by organisation: counts of runs by window of the wall clock, and the reports of them. No network, no
/// clock.
#ifndef VANILLAGAUGE_USAGE_USAGE_HPP
#define VANILLAGAUGE_USAGE_USAGE_HPP

#include "usage/ledger.hpp"
#include "usage/report_log.hpp"
#include "usage/report_plan.hpp"
#include "usage/run_evidence.hpp"
#include "usage/window.hpp"

#endif
