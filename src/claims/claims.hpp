/// Calls that run at most once: keys, claim pairs and their memory.
#ifndef VANILLAGAUGE_CLAIMS_CLAIMS_HPP
#define VANILLAGAUGE_CLAIMS_CLAIMS_HPP

#include "claims/backup.hpp"
#include "claims/key.hpp"
#include "claims/primary.hpp"
#include "claims/record.hpp"
#include "claims/refusal.hpp"
#include "claims/role.hpp"

#endif
