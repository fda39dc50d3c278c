/// The errors that the protocol itself answers with.
#ifndef VANILLAGAUGE_CLAIMS_REFUSAL_HPP
#define VANILLAGAUGE_CLAIMS_REFUSAL_HPP

#include "base/base.hpp"

namespace vanillagauge::claims {

enum class refusal {
    expired,            ///< the key's memory is gone: nobody knows any more
    excessive_lifetime, ///< no process mints keys that live so long
    other_request,      ///< the key belongs to a request with another fingerprint
    pair_closed,        ///< the backup took over and never saw the key
    backup_unreachable, ///< the claim could not be recorded, so the home will not run it
    expired_before_run, ///< the key expired before the claim was recorded
    no_waiters,         ///< nobody waits for the answer any more
    stopping,           ///< the home has stopped to take new keys
    full,               ///< remembered as refused
    exhausted,          ///< no room even to remember the refusal
    answer_discarded,   ///< it ran, but its answer is no longer kept
    outcome_unknown,    ///< the backup took over a claim without an answer
    pair_unavailable,   ///< neither process of the pair can tell
    deadline_exceeded,  ///< the caller's deadline passed before the outcome was known
};

/// A "not run" of these is final: the key is never dispatched afterwards, so the caller needs a new key.
error refusal_error(refusal why);

} // namespace vanillagauge::claims

#endif
