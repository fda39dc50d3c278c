/// What both sides of a claim pair remember of a key.
#ifndef VANILLAGAUGE_CLAIMS_RECORD_HPP
#define VANILLAGAUGE_CLAIMS_RECORD_HPP

#include "claims/key.hpp"

#include <memory>
#include <string>

namespace vanillagauge::claims {

/// The final answer of a key: the encoded reply, or the error in its place. It never changes again.
using outcome = result<std::string>;

/// An outcome that a caller gets; `repeated` where an earlier call with the key got it before.
struct call_reply {
    outcome answer;
    bool repeated = false;
};

/// A key within its pair, ordered by expiry so that memory is freed from the front.
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

/// One settled key, as a stopping home hands it over.
struct settled_record {
    call_key key;
    std::uint64_t fingerprint = 0;
    outcome answer;
};

/// Bounds of one side's memory. Keys expire, so the bounds are reached only by a flood.
struct memory_limits {
    std::size_t keys = 16384;                  ///< in all pairs together
    std::size_t keys_per_pair = 8192;          ///< one busy pair leaves room for the others
    std::size_t answer_bytes = 4U << 20U;      ///< of remembered answers together
    std::size_t max_answer_bytes = 64U << 10U; ///< a longer one is delivered, but not remembered
    milliseconds max_lifetime{10 * 60 * 1000}; ///< a key that expires later than this is refused
};

/// The bytes an outcome keeps in memory besides its fixed size.
std::size_t answer_size(const outcome& answer);
/// The outcome to remember: the answer itself, or that it ran, where there is no room for the bytes.
outcome retained_outcome(const outcome& answer, std::size_t used_bytes, const memory_limits& limits);

} // namespace vanillagauge::claims

#endif
