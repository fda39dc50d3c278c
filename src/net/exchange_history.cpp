#include "net/exchange_history.hpp"

#include "base/digest.hpp"

#include <algorithm>

namespace vanillagauge::net {

bool exchange_history::contains(std::string_view id) const
{
    return std::find(hashes_.begin(), hashes_.end(), hash64(id)) != hashes_.end();
}

void exchange_history::add(std::string_view id)
{
    if (!id.empty()) {
        hashes_.push_back(hash64(id));
    }
}

} // namespace vanillagauge::net
