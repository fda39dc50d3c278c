/// Clients of the platform: objects, the list of VMs, and the weight store.
#ifndef VANILLAGAUGE_PLATFORM_PLATFORM_HPP
#define VANILLAGAUGE_PLATFORM_PLATFORM_HPP

#include "platform/object_client.hpp"

#endif
