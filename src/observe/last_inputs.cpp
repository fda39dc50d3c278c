#include "observe/last_inputs.hpp"

#include <algorithm>

namespace vanillagauge::observe {
namespace {

bool is_plain(char symbol)
{
    return symbol >= ' ' && symbol <= '~' && symbol != '"' && symbol != '\\';
}

void append(internal::noted_input& entry, std::string_view text)
{
    const auto count = std::min(text.size(), entry.text.size() - entry.size);
    std::transform(text.begin(), text.begin() + static_cast<std::ptrdiff_t>(count),
                   entry.text.begin() + static_cast<std::ptrdiff_t>(entry.size),
                   [](char symbol) { return is_plain(symbol) ? symbol : '?'; });
    entry.size += count;
}

} // namespace

namespace internal {

input_ring& inputs_of_this_thread() noexcept
{
    thread_local input_ring ring{};
    return ring;
}

} // namespace internal

void note_input(std::string_view source, std::string_view what) noexcept
{
    auto& ring = internal::inputs_of_this_thread();
    auto& entry = ring.entries[ring.next];
    ring.next = (ring.next + 1) % ring.entries.size();
    entry.size = 0;
    append(entry, source);
    append(entry, " ");
    append(entry, what);
}

} // namespace vanillagauge::observe
