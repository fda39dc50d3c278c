/// Decisions under load, without network, clock or thread: time and events in, decisions out.
#ifndef VANILLAGAUGE_POLICY_POLICY_HPP
#define VANILLAGAUGE_POLICY_POLICY_HPP

#include "policy/placement.hpp"

#endif
