#include "fleet/rendezvous.hpp"

#include "base/digest.hpp"

#include <algorithm>

namespace vanillagauge::fleet {

std::vector<std::string> ranked_owners(const std::string& key, std::vector<std::string> members)
{
    const auto score = [&key](const std::string& member) { return hash64(key, hash64(member)); };
    std::sort(members.begin(), members.end(), [&score](const std::string& left, const std::string& right) {
        const auto left_score = score(left);
        const auto right_score = score(right);
        return left_score != right_score ? left_score > right_score : left < right;
    });
    return members;
}

} // namespace vanillagauge::fleet
