/// Logging, metrics and tracing.
#ifndef VANILLAGAUGE_OBSERVE_OBSERVE_HPP
#define VANILLAGAUGE_OBSERVE_OBSERVE_HPP

#include "observe/crash_report.hpp"
#include "observe/last_inputs.hpp"
#include "observe/log.hpp"
#include "observe/metrics.hpp"
#include "observe/trace.hpp"

#endif
