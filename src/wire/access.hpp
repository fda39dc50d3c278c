/// Authorization of callers by one bearer token per role.
#ifndef VANILLAGAUGE_WIRE_ACCESS_HPP
#define VANILLAGAUGE_WIRE_ACCESS_HPP

#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace vanillagauge::wire {

enum class role { anyone, caller, trainer, operators, peer };

/// Bearer tokens by role. A role without a token authorizes nobody.
struct access_table {
    std::map<role, std::string> tokens;
};

std::string_view name(role role_value);

/// Whether the Authorization header carries the role's token, compared in constant time.
bool is_authorized(const access_table& table, role required, std::string_view authorization);

} // namespace vanillagauge::wire

#endif
