#include "gateway/object_store.hpp"

#include "gateway/untrusted_json.hpp"

namespace vanillagauge::gateway {

using nlohmann::json;

// A gateway of an earlier version does not know `unread` and would take null for a member's value, so the
// parts that could be read go by another name.
json to_json(const stored_object& object)
{
    json document{{"name", object.name}, {"revision", object.revision}};
    if (object.unread.empty()) {
        document["value"] = object.value;
        document["status"] = object.status;
        return document;
    }
    document["value"] = nullptr;
    document["status"] = nullptr;
    document["unread"] = object.unread;
    document["read"] = {{"value", object.value}, {"status", object.status}};
    return document;
}

stored_object object_from_json(const json& document)
{
    const auto unread = document.find("unread");
    const auto& content = unread == document.end() ? document : document.at("read");
    return {document.at("name").get<std::string>(), unsigned_at(document, "revision"), content.at("value"),
            content.at("status"), document.value("unread", std::vector<std::string>{})};
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
