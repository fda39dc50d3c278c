/// Call keys: each is issued under a pair of process incarnations that alone decide on it.
#ifndef VANILLAGAUGE_CLAIMS_KEY_HPP
#define VANILLAGAUGE_CLAIMS_KEY_HPP

#include "base/base.hpp"

#include <cstdint>
#include <string>
#include <tuple>

namespace vanillagauge::claims {

/// One run of a process on a VM; each restart is a new incarnation.
struct incarnation {
    std::string vm;
    std::uint64_t number = 0;

    friend bool operator==(const incarnation&, const incarnation&) = default;
    friend bool operator<(const incarnation& left, const incarnation& right)
    {
        return std::tie(left.vm, left.number) < std::tie(right.vm, right.number);
    }
};

/// The two entry processes that decide on a key; in different failure domains if there is more than one.
struct claim_pair {
    incarnation primary;
    incarnation backup;

    friend bool operator==(const claim_pair&, const claim_pair&) = default;
    friend bool operator<(const claim_pair& left, const claim_pair& right)
    {
        return std::tie(left.primary, left.backup) < std::tie(right.primary, right.backup);
    }
};

struct call_key {
    claim_pair pair;
    std::int64_t expires_ms = 0; ///< by the primary's wall clock
    std::string suffix;          ///< unique per call within the pair
};

/// A key's text form without the caller's suffix.
std::string format_prefix(const claim_pair& pair, std::int64_t expires_ms, std::uint64_t nonce);
std::string format_pair(const claim_pair& pair);
/// Fails with `invalid_argument` if the text is not a key.
result<call_key> parse_key(const std::string& text);

} // namespace vanillagauge::claims

#endif
