/// What primary and backup of a claim pair store of a key.
#ifndef VANILLAGAUGE_CLAIMS_RECORD_HPP
#define VANILLAGAUGE_CLAIMS_RECORD_HPP

#include "claims/key.hpp"

#include <memory>
#include <string>

namespace vanillagauge::claims {

/// The final answer of a key: the encoded reply, or the error in its place. Immutable once set.
using outcome = result<std::string>;

/// The outcome returned to a caller; `repeated` if an earlier call with the key already received it.
struct call_reply {
    outcome answer;
    bool repeated = false;
};

/// A key within its pair, ordered by expiry so that expired keys come first.
struct call_id {
    std::int64_t expires_ms = 0;
    std::string suffix;

    friend bool operator<(const call_id& left, const call_id& right)
    {
        return std::tie(left.expires_ms, left.suffix) < std::tie(right.expires_ms, right.suffix);
    }
};

inline call_id id_of(const call_key& key)
{
    return {key.expires_ms, key.suffix};
}

/// A settled key, as sent to the backup.
struct settled_record {
    call_key key;
    std::uint64_t fingerprint = 0;
    outcome answer;
};

/// Limits of one process's records. Keys expire, so only an overload reaches them.
struct memory_limits {
    std::size_t keys = 16384;                  ///< over all pairs
    std::size_t keys_per_pair = 8192;          ///< so that one busy pair leaves room for the others
    std::size_t answer_bytes = 4U << 20U;      ///< of all stored answers
    std::size_t max_answer_bytes = 64U << 10U; ///< a longer one is delivered, but not stored
    milliseconds max_lifetime{10 * 60 * 1000}; ///< a key that expires later is refused
};

/// The bytes that an outcome occupies beyond its fixed size.
std::size_t answer_size(const outcome& answer);
/// The outcome to store: the answer, or only the fact that the call ran if its bytes exceed the limits.
outcome retained_outcome(const outcome& answer, std::size_t used_bytes, const memory_limits& limits);

} // namespace vanillagauge::claims

#endif
