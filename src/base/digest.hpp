/// Content digests (XXH3, 64 bit) that detect truncated or swapped responses; no protection against forgery.
#ifndef VANILLAGAUGE_BASE_DIGEST_HPP
#define VANILLAGAUGE_BASE_DIGEST_HPP

#include <cstdint>
#include <string>
#include <string_view>

namespace vanillagauge {

std::uint64_t hash64(std::string_view bytes, std::uint64_t seed = 0);

/// 16 lower-case hexadecimal digits.
std::string digest(std::string_view bytes);

/// 16 lower-case hexadecimal digits of a number.
std::string hex(std::uint64_t value);

} // namespace vanillagauge

#endif
