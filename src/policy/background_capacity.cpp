#include "policy/background_capacity.hpp"

#include <algorithm>

namespace vanillagauge::policy {
namespace {

/// Several gateways may run batches at once; the rest is left to interactive callers.
constexpr int gateway_share = 3;

} // namespace

// Load pattern: the texts of a step complete within a second or two, and each needs a long call to a service
// that also serves short interactive calls. Unbounded, the long calls fill every slot and interactive callers
// miss their deadlines.
int background_capacity(int slots)
{
    return std::max(1, slots / gateway_share);
}

} // namespace vanillagauge::policy
