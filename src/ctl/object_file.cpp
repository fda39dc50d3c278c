#include "ctl/object_file.hpp"

#include "config/specs.hpp"
#include "wire/codec.hpp"
#include "json/json.hpp"

#include <nlohmann/json.hpp>

#include <fstream>
#include <iostream>
#include <iterator>

namespace vanillagauge::ctl {
namespace {

using nlohmann::json;

error invalid(const std::string& origin, const std::string& detail)
{
    return {error_code::invalid_argument, run_state::not_run, origin + ": " + detail};
}

result<declared_object> parse_object(const json& item, const std::string& origin)
{
    declared_object declared;
    const auto decoded = wire::decode(wire::codec::json, item.dump(), declared.object);
    if (!ok(decoded)) {
        return invalid(origin, failure(decoded).detail);
    }
    if (declared.object.kind().empty() || declared.object.name().empty()) {
        return invalid(origin, R"(expected the keys "kind" and "name", found )" + item.dump().substr(0, 80));
    }
    declared.versioned = item.contains("version");
    return declared;
}

} // namespace

result<std::vector<declared_object>> parse_objects(const std::string& text, const std::string& origin)
{
    const auto parsed = parse_json(text);
    if (parsed.is_discarded() || !(parsed.is_array() || parsed.is_object())) {
        return invalid(origin, "expected a JSON object or an array of objects, of at most " +
                                   std::to_string(max_json_depth) + " levels");
    }
    const auto items = parsed.is_array() ? parsed : json::array({parsed});
    std::vector<declared_object> objects;
    for (std::size_t index = 0; index < items.size(); ++index) {
        const auto where = parsed.is_array() ? origin + ": at /" + std::to_string(index) : origin;
        auto declared = parse_object(items[index], where);
        if (!ok(declared)) {
            return failure(declared);
        }
        objects.push_back(value(std::move(declared)));
    }
    return objects;
}

result<std::vector<declared_object>> read_objects(const std::string& file)
{
    if (file == "-") {
        const std::string text{std::istreambuf_iterator<char>(std::cin), {}};
        return parse_objects(text, "standard input");
    }
    std::ifstream in(file);
    if (!in) {
        return error{error_code::not_found, run_state::not_run, file + ": expected a readable file"};
    }
    const std::string text{std::istreambuf_iterator<char>(in), {}};
    return parse_objects(text, file);
}

result<done> check_objects(const std::vector<declared_object>& objects)
{
    for (const auto& declared : objects) {
        const auto& object = declared.object;
        const auto spec = wire::encode(wire::codec::json, object.spec());
        const auto checked = config::check_object(object.kind(), object.name(), spec);
        if (!ok(checked)) {
            return failure(checked);
        }
    }
    return done{};
}

} // namespace vanillagauge::ctl
