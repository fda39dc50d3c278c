#include "wire/access.hpp"

#include <openssl/crypto.h>

namespace vanillagauge::wire {

std::string_view name(role role_value)
{
    switch (role_value) {
    case role::caller:
        return "caller";
    case role::trainer:
        return "trainer";
    case role::operators:
        return "operator";
    case role::peer:
        return "peer";
    case role::anyone:
        break;
    }
    return "anyone";
}

bool is_authorized(const access_table& table, role required, std::string_view authorization)
{
    if (required == role::anyone) {
        return true;
    }
    constexpr std::string_view scheme = "Bearer ";
    const auto found = table.tokens.find(required);
    if (found == table.tokens.end() || !authorization.starts_with(scheme)) {
        return false;
    }
    const auto token = authorization.substr(scheme.size());
    return token.size() == found->second.size() &&
           CRYPTO_memcmp(token.data(), found->second.data(), token.size()) == 0;
}

} // namespace vanillagauge::wire
