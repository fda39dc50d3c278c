#include "claims/record.hpp"

#include "claims/refusal.hpp"

namespace vanillagauge::claims {

std::size_t answer_size(const outcome& answer)
{
    return ok(answer) ? value(answer).size() : failure(answer).detail.size();
}

outcome bounded(const outcome& answer, std::size_t used_bytes, const memory_limits& limits)
{
    const auto size = answer_size(answer);
    if (size <= limits.longest_answer && used_bytes + size <= limits.answer_bytes) {
        return answer;
    }
    if (ok(answer)) {
        return refuse(refusal::answer_not_kept);
    }
    auto shortened = failure(answer);
    shortened.detail.clear();
    return shortened;
}

} // namespace vanillagauge::claims
