/// The errors of the claim protocol itself.
#ifndef VANILLAGAUGE_CLAIMS_REFUSAL_HPP
#define VANILLAGAUGE_CLAIMS_REFUSAL_HPP

#include "base/base.hpp"

namespace vanillagauge::claims {

enum class refusal {
    expired,            ///< the key's record was removed: whether it ran is unknown
    excessive_lifetime, ///< no process issues keys with such a lifetime
    other_request,      ///< the key was used for a request with another fingerprint
    pair_closed,        ///< the backup took over without having recorded the key
    backup_unreachable, ///< the claim could not be recorded, so the primary will not run it
    expired_before_run, ///< the key expired before the claim was recorded
    no_waiters,         ///< all requests for the key have timed out
    stopping,           ///< the primary no longer accepts new keys
    full,               ///< no room for a claim; the refusal is recorded
    exhausted,          ///< no room to record even the refusal
    answer_discarded,   ///< the call ran, but its answer is not stored
    outcome_unknown,    ///< the backup took over with the claim recorded, but no outcome
    pair_unavailable,   ///< neither process of the pair can decide
    deadline_exceeded,  ///< the caller's deadline passed before the outcome was known
};

/// The error of a refusal. After a "not run" the key is never dispatched, so the caller needs a new key.
error refusal_error(refusal why);

} // namespace vanillagauge::claims

#endif
