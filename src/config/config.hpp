/// Settings of the programs, specs of configuration objects, and the configuration replica.
#ifndef VANILLAGAUGE_CONFIG_CONFIG_HPP
#define VANILLAGAUGE_CONFIG_CONFIG_HPP

#include "config/pull_planner.hpp"
#include "config/replica.hpp"
#include "config/settings.hpp"
#include "config/specs.hpp"

#endif
