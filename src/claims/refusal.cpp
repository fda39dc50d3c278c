#include "claims/refusal.hpp"

namespace vanillagauge::claims {
namespace {

/// Long enough for the membership to detect a dead process, so that the new key has a live pair.
constexpr milliseconds new_pair_delay{1000};
/// Entries are freed as keys expire; an overload recedes in about this time.
constexpr milliseconds capacity_delay{2000};

} // namespace

error refusal_error(refusal why)
{
    using enum run_state;
    switch (why) {
    case refusal::expired:
        return {error_code::expired_key, in_doubt, "the key has expired: whether its call ran is unknown"};
    case refusal::excessive_lifetime:
        return {error_code::invalid_argument, in_doubt, "the key expires later than any key that is issued"};
    case refusal::other_request:
        return {error_code::conflict, not_run, "the key belongs to another request"};
    case refusal::pair_closed:
        return {error_code::unavailable, not_run, "the key's pair is closed: use a new key_prefix",
                new_pair_delay};
    case refusal::backup_unreachable:
        return {error_code::unavailable, not_run, "the claim could not be recorded: use a new key_prefix",
                new_pair_delay};
    case refusal::expired_before_run:
        return {error_code::expired_key, not_run, "the key expired before its claim was recorded"};
    case refusal::no_waiters:
        return {error_code::deadline_exceeded, not_run, "the deadline passed before the claim was recorded"};
    case refusal::stopping:
        return {error_code::draining, not_run, "the key's primary is stopping: use a new key_prefix"};
    case refusal::full:
        return {error_code::overloaded, not_run, "no room for another claim: use a new key", capacity_delay};
    case refusal::exhausted:
        return {error_code::overloaded, in_doubt, "no room for another claim", capacity_delay};
    case refusal::answer_discarded:
        return {error_code::incomplete, ran, "the call ran, but its answer is not stored"};
    case refusal::outcome_unknown:
        return {error_code::unavailable, in_doubt, "the key's primary was lost after it claimed the call"};
    case refusal::pair_unavailable:
        return {error_code::unavailable, in_doubt,
                "neither process of the key's pair knows whether the call ran"};
    case refusal::deadline_exceeded:
        return {error_code::deadline_exceeded, in_doubt, "the deadline passed before the outcome was known"};
    }
    return {error_code::internal, in_doubt, "an unknown refusal"};
}

} // namespace vanillagauge::claims
