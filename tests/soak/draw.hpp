/// Draws from a seed; each actor of a soak has a generator of its own, so that one does not shift the others.
#ifndef VANILLAGAUGE_TESTS_SOAK_DRAW_HPP
#define VANILLAGAUGE_TESTS_SOAK_DRAW_HPP

#include "base/clock.hpp"

#include <cstdint>
#include <random>
#include <vector>

namespace vanillagauge::soak {

class draw {
public:
    draw(std::uint64_t seed, std::uint64_t actor) : random_(seed * 1000003 + actor) {}

    /// From 0 up to but without `end`.
    std::size_t below(std::size_t end)
    {
        return std::uniform_int_distribution<std::size_t>(0, end - 1)(random_);
    }
    milliseconds between(milliseconds least, milliseconds most)
    {
        return milliseconds{
            std::uniform_int_distribution<std::int64_t>(least.count(), most.count())(random_)};
    }
    template <class Value>
    Value one_of(const std::vector<Value>& values)
    {
        return values.at(below(values.size()));
    }

private:
    std::mt19937_64 random_;
};

} // namespace vanillagauge::soak

#endif
