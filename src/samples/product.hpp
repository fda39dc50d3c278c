/// What an engine has made for a slot so far, and where the slot lies.
#ifndef VANILLAGAUGE_SAMPLES_PRODUCT_HPP
#define VANILLAGAUGE_SAMPLES_PRODUCT_HPP

#include "samples/labels.hpp"

#include <cstddef>
#include <cstdint>
#include <string>
#include <tuple>

namespace vanillagauge::samples {

struct slot_key {
    std::int64_t step = 0;
    std::size_t place = 0; ///< group * group_size + index

    friend bool operator==(const slot_key&, const slot_key&) = default;
    friend bool operator<(const slot_key& left, const slot_key& right)
    {
        return std::tie(left.step, left.place) < std::tie(right.step, right.place);
    }
};

struct product {
    std::string text;
    labels spans;
    double score = 0;
    std::string unscored; ///< why there is no score; empty: scored, or the job asks for none
};

} // namespace vanillagauge::samples

#endif
