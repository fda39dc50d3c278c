/// Which VMs are there, and which of them owns what.
#ifndef VANILLAGAUGE_FLEET_FLEET_HPP
#define VANILLAGAUGE_FLEET_FLEET_HPP

#include "fleet/membership.hpp"
#include "fleet/rendezvous.hpp"

#endif
