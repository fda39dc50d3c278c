/// Membership of the fleet, leases and ownership.
#ifndef VANILLAGAUGE_FLEET_FLEET_HPP
#define VANILLAGAUGE_FLEET_FLEET_HPP

#include "fleet/datagram.hpp"
#include "fleet/failure_detector.hpp"
#include "fleet/lease.hpp"
#include "fleet/membership.hpp"
#include "fleet/node.hpp"
#include "fleet/rendezvous.hpp"
#include "fleet/watchers.hpp"

#endif
