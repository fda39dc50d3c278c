#include "gateway/object_store.hpp"

#include "gateway/untrusted_json.hpp"

namespace vanillagauge::gateway {

using nlohmann::json;

json to_json(const stored_object& object)
{
    json document{{"name", object.name},
                  {"revision", object.revision},
                  {"value", object.value},
                  {"status", object.status}};
    if (!object.unread.empty()) {
        document["unread"] = object.unread;
    }
    return document;
}

stored_object object_from_json(const json& document)
{
    return {document.at("name").get<std::string>(), unsigned_at(document, "revision"), document.at("value"),
            document.at("status"), document.value("unread", std::vector<std::string>{})};
}

stored_object listed_object_from_json(const json& document, std::uint64_t revision)
{
    auto name = document.at("name").get<std::string>();
    try {
        return object_from_json(document);
    }
    catch (const json::exception&) {
        return {std::move(name), revision, nullptr, nullptr, {""}};
    }
}

} // namespace vanillagauge::gateway
