#include "base/error.hpp"

#include <array>
#include <utility>

namespace vanillagauge {
namespace {

constexpr std::array<std::pair<error_code, std::string_view>, 19> code_names{{
    {error_code::invalid_argument, "invalid_argument"},
    {error_code::unauthenticated, "unauthenticated"},
    {error_code::permission_denied, "permission_denied"},
    {error_code::not_found, "not_found"},
    {error_code::conflict, "conflict"},
    {error_code::overloaded, "overloaded"},
    {error_code::deadline_exceeded, "deadline_exceeded"},
    {error_code::unavailable, "unavailable"},
    {error_code::incomplete, "incomplete"},
    {error_code::expired_key, "expired_key"},
    {error_code::wrong_node, "wrong_node"},
    {error_code::quarantined, "quarantined"},
    {error_code::stale_cursor, "stale_cursor"},
    {error_code::forged_cursor, "forged_cursor"},
    {error_code::too_large, "too_large"},
    {error_code::unimplemented, "unimplemented"},
    {error_code::cancelled, "cancelled"},
    {error_code::draining, "draining"},
    {error_code::internal, "internal"},
}};

} // namespace

std::string_view name(error_code code)
{
    for (const auto& [entry, text] : code_names) {
        if (entry == code) {
            return text;
        }
    }
    return "internal";
}

std::string_view name(run_state state)
{
    switch (state) {
    case run_state::not_run:
        return "not_run";
    case run_state::ran:
        return "ran";
    case run_state::in_doubt:
        break;
    }
    return "in_doubt";
}

error_code parse_error_code(std::string_view text)
{
    for (const auto& [code, entry] : code_names) {
        if (entry == text) {
            return code;
        }
    }
    return error_code::internal;
}

run_state parse_run_state(std::string_view text)
{
    if (text == "not_run") {
        return run_state::not_run;
    }
    return text == "ran" ? run_state::ran : run_state::in_doubt;
}

std::string describe(const error& failure)
{
    std::string line{name(failure.code)};
    line += " (";
    line += name(failure.ran);
    line += "): ";
    line += failure.detail;
    return line;
}

} // namespace vanillagauge
