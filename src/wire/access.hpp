/// Who may call which service: a bearer token for each role.
#ifndef VANILLAGAUGE_WIRE_ACCESS_HPP
#define VANILLAGAUGE_WIRE_ACCESS_HPP

#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace vanillagauge::wire {

enum class role { anyone, caller, trainer, operators, peer };

/// Tokens by role. A role without a token is closed to everyone.
struct access_table {
    std::map<role, std::string> tokens;
};

std::string_view name(role role_value);

/// True where the Authorization header carries the role's token; the comparison takes constant time.
bool is_authorized(const access_table& table, role required, std::string_view authorization);

} // namespace vanillagauge::wire

#endif
