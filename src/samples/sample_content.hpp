/// The content generated for a slot, partial until its stream is complete, and the slot's key.
#ifndef VANILLAGAUGE_SAMPLES_SAMPLE_CONTENT_HPP
#define VANILLAGAUGE_SAMPLES_SAMPLE_CONTENT_HPP

#include "samples/version_spans.hpp"

#include <cstddef>
#include <cstdint>
#include <string>
#include <tuple>

namespace vanillagauge::samples {

struct slot_key {
    std::int64_t step = 0;
    std::size_t index = 0; ///< group * group_size + index in the group

    friend bool operator==(const slot_key&, const slot_key&) = default;
    friend bool operator<(const slot_key& left, const slot_key& right)
    {
        return std::tie(left.step, left.index) < std::tie(right.step, right.index);
    }
};

struct sample_content {
    std::string text;
    version_spans spans;
    double score = 0;
    std::string unscored_reason; ///< why there is no score; empty: scored, or the job has no scorer
};

} // namespace vanillagauge::samples

#endif
