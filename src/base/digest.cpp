#include "base/digest.hpp"

#include <xxhash.h>

namespace vanillagauge {

std::uint64_t hash64(std::string_view bytes, std::uint64_t seed)
{
    return XXH3_64bits_withSeed(bytes.data(), bytes.size(), seed);
}

std::string digest(std::string_view bytes)
{
    return hex(hash64(bytes));
}

std::string hex(std::uint64_t value)
{
    constexpr std::string_view digits = "0123456789abcdef";
    std::string text(16, '0');
    for (std::size_t index = text.size(); index-- > 0; value >>= 4U) {
        text[index] = digits[value & 0xFU];
    }
    return text;
}

} // namespace vanillagauge
