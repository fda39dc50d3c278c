#include "gateway/caller_access.hpp"

namespace vanillagauge::gateway {

error unknown_key()
{
    return {error_code::unauthenticated, run_state::not_run, "no organisation has this key"};
}

result<std::optional<organisation>> identify_caller(const configuration& current, const route& chosen,
                                                    std::string_view key)
{
    if (!current.organisations || chosen.is_public) {
        return std::optional<organisation>{};
    }
    const auto* found = current.organisations->find_by_key(key);
    if (found == nullptr) {
        return unknown_key();
    }
    return std::optional<organisation>{*found};
}

result<done> check_batch_access(const configuration& current, std::string_view key, const std::string& owner)
{
    if (!current.organisations || owner.empty()) {
        return done{};
    }
    const auto* found = current.organisations->find_by_key(key);
    if (found == nullptr) {
        return unknown_key();
    }
    if (found->name != owner) {
        return error{error_code::not_found, run_state::not_run, "no such batch"};
    }
    return done{};
}

int priority_of(const route& chosen, const std::optional<organisation>& acts_for)
{
    return acts_for && acts_for->priority ? *acts_for->priority : chosen.priority;
}

} // namespace vanillagauge::gateway
