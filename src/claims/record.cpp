#include "claims/record.hpp"

#include "claims/refusal.hpp"

namespace vanillagauge::claims {

std::size_t answer_size(const outcome& answer)
{
    return ok(answer) ? value(answer).size() : failure(answer).detail.size();
}

outcome retained_outcome(const outcome& answer, std::size_t used_bytes, const memory_limits& limits)
{
    const auto size = answer_size(answer);
    if (size <= limits.max_answer_bytes && used_bytes + size <= limits.answer_bytes) {
        return answer;
    }
    if (ok(answer)) {
        return refusal_error(refusal::answer_discarded);
    }
    auto shortened = failure(answer);
    shortened.detail.clear();
    return shortened;
}

} // namespace vanillagauge::claims
