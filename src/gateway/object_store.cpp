#include "gateway/object_store.hpp"

namespace vanillagauge::gateway {

using nlohmann::json;

json to_json(const stored_object& object)
{
    return {{"name", object.name},
            {"revision", object.revision},
            {"value", object.value},
            {"status", object.status}};
}

stored_object object_from_json(const json& document)
{
    return {document.at("name").get<std::string>(), document.at("revision").get<std::uint64_t>(),
            document.at("value"), document.at("status")};
}

} // namespace vanillagauge::gateway
