/// Counts the memory that a test program allocates.
#ifndef VANILLAGAUGE_TESTS_COUNTED_MEMORY_HPP
#define VANILLAGAUGE_TESTS_COUNTED_MEMORY_HPP

#include <cstddef>

namespace vanillagauge {

/// Bytes that are allocated now.
std::size_t held_bytes();

/// The most bytes that were allocated at once since `reset_peak`, if one thread allocates.
std::size_t peak_bytes();
void reset_peak();

} // namespace vanillagauge

#endif
