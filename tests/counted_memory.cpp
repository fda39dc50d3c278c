#include "counted_memory.hpp"

#include <malloc.h>

#include <algorithm>
#include <atomic>
#include <cstdlib>
#include <new>

namespace {

std::atomic<std::size_t> held{0};
std::atomic<std::size_t> peak{0};

/// With the allocator's own header.
std::size_t size_of(void* block)
{
    return malloc_usable_size(block) + sizeof(std::size_t);
}

} // namespace

void* operator new(std::size_t bytes)
{
    void* block = std::malloc(bytes);
    if (block == nullptr) {
        throw std::bad_alloc();
    }
    held += size_of(block);
    peak = std::max(peak.load(), held.load());
    return block;
}

void operator delete(void* block) noexcept
{
    if (block != nullptr) {
        held -= size_of(block);
        std::free(block);
    }
}

void operator delete(void* block, std::size_t /*bytes*/) noexcept
{
    operator delete(block);
}

namespace vanillagauge {

std::size_t held_bytes()
{
    return held;
}

std::size_t peak_bytes()
{
    return peak;
}

void reset_peak()
{
    peak = held.load();
}

} // namespace vanillagauge
