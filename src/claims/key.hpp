/// Call keys: each is minted under a pair of process incarnations that alone decide on it.
#ifndef VANILLAGAUGE_CLAIMS_KEY_HPP
#define VANILLAGAUGE_CLAIMS_KEY_HPP

#include "base/base.hpp"

#include <cstdint>
#include <string>
#include <tuple>

namespace vanillagauge::claims {

/// One run of a process on a VM; a restart has another incarnation.
struct incarnation {
    std::string vm;
    std::uint64_t number = 0;

    friend bool operator==(const incarnation&, const incarnation&) = default;
    friend bool operator<(const incarnation& left, const incarnation& right)
    {
        return std::tie(left.vm, left.number) < std::tie(right.vm, right.number);
    }
};

/// The two entry processes, in two failure domains where there are two, that decide on a key.
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
    std::int64_t expires_ms = 0; ///< wall clock of the home
    std::string suffix;          ///< unique per call under the pair
};

/// The text form without a suffix; a caller appends its own.
std::string format_prefix(const claim_pair& pair, std::int64_t expires_ms, std::uint64_t nonce);
/// The text form of a pair alone.
std::string format_pair(const claim_pair& pair);
/// `invalid_argument` where the text is no key.
result<call_key> parse_key(const std::string& text);

} // namespace vanillagauge::claims

#endif
