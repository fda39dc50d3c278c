/// The errors that the protocol itself answers with.
#ifndef VANILLAGAUGE_CLAIMS_REFUSAL_HPP
#define VANILLAGAUGE_CLAIMS_REFUSAL_HPP

#include "base/base.hpp"

namespace vanillagauge::claims {

enum class refusal {
    expired,            ///< the key's memory is gone: nobody knows any more
    far_expiry,         ///< no process mints keys that live so long
    other_request,      ///< the key belongs to a request with another fingerprint
    pair_closed,        ///< the backup took over and never saw the key
    backup_unreachable, ///< the claim could not be recorded, so the home will not run it
    expired_unrun,      ///< the key expired before the claim was recorded
    caller_gone,        ///< nobody waits for the answer any more
    stopping,           ///< the home has stopped to take new keys
    full,               ///< remembered as refused
    overfull,           ///< no room even to remember the refusal
    answer_not_kept,    ///< it ran, but its answer is no longer kept
    seen_unsettled,     ///< the backup took over a claim without an answer
    both_gone,          ///< neither process of the pair can tell
    out_of_time,        ///< the caller's deadline passed before the outcome was known
};

/// A "not run" of these is final: the key is never dispatched afterwards, so the caller needs a new key.
error refuse(refusal why);

} // namespace vanillagauge::claims

#endif
