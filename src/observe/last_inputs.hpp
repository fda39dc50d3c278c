/// What a thread read last from other programs, kept for the report of a crash.
#ifndef VANILLAGAUGE_OBSERVE_LAST_INPUTS_HPP
#define VANILLAGAUGE_OBSERVE_LAST_INPUTS_HPP

#include <array>
#include <cstddef>
#include <string_view>

namespace vanillagauge::observe {

/// Notes that the current thread begins to handle `what` of `source`, for example a stored object by its
/// name. Bytes that JSON would escape are replaced; long texts are cut.
void note_input(std::string_view source, std::string_view what) noexcept;

namespace internal {

constexpr std::size_t max_input_bytes = 160;
constexpr std::size_t kept_inputs = 8;

/// One noted input as the text of a JSON string.
struct noted_input {
    std::array<char, max_input_bytes> text;
    std::size_t size;
};

/// A ring of the last inputs; read by a signal handler, so it allocates nothing.
struct input_ring {
    std::array<noted_input, kept_inputs> entries;
    std::size_t next;
};

input_ring& inputs_of_this_thread() noexcept;

} // namespace internal
} // namespace vanillagauge::observe

#endif
