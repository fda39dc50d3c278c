#include "policy/background_capacity.hpp"

#include <algorithm>

namespace vanillagauge::policy {
namespace {

/// Several gateways run batches at the same time, and callers need the rest.
constexpr int gateway_share = 3;

} // namespace

// Load pattern: the texts of a step become whole within a second or two, and each then wants a long call to a
// service whose callers want short ones. Without a bound the calls fill every slot of the service, and a
// caller that is due in a fraction of one call waits behind several of them.
int background_capacity(int slots)
{
    return std::max(1, slots / gateway_share);
}

} // namespace vanillagauge::policy
