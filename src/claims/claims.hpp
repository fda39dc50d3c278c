/// Calls that run at most once: keys, claim pairs and their memory.
#ifndef VANILLAGAUGE_CLAIMS_CLAIMS_HPP
#define VANILLAGAUGE_CLAIMS_CLAIMS_HPP

#include "claims/key.hpp"

#endif
