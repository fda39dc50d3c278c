/// At-most-once calls: keys, claim pairs and the records that they keep.
#ifndef VANILLAGAUGE_CLAIMS_CLAIMS_HPP
#define VANILLAGAUGE_CLAIMS_CLAIMS_HPP

#include "claims/backup.hpp"
#include "claims/key.hpp"
#include "claims/primary.hpp"
#include "claims/record.hpp"
#include "claims/refusal.hpp"
#include "claims/role.hpp"

#endif
