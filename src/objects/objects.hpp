/// Client of the platform's Object API.
#ifndef VANILLAGAUGE_OBJECTS_OBJECTS_HPP
#define VANILLAGAUGE_OBJECTS_OBJECTS_HPP

#include "objects/object_client.hpp"

#endif
