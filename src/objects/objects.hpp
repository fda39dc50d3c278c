/// Clients of the platform: objects, the list of VMs, and the weight store.
#ifndef VANILLAGAUGE_OBJECTS_PLATFORM_HPP
#define VANILLAGAUGE_OBJECTS_PLATFORM_HPP

#include "objects/object_client.hpp"

#endif
