#include "observe/json_text.hpp"

#include <nlohmann/json.hpp>

namespace vanillagauge::observe {

std::string json_text(std::string_view text)
{
    return nlohmann::json(text).dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace vanillagauge::observe
