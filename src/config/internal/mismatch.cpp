#include "config/internal/mismatch.hpp"

#include <vector>

namespace vanillagauge::config::internal {
namespace {

using nlohmann::json;

constexpr std::size_t max_quote_length = 80;

std::string quote(const json& found)
{
    const auto text = found.dump(-1, ' ', false, json::error_handler_t::replace);
    return text.size() <= max_quote_length ? text : text.substr(0, max_quote_length) + "...";
}

std::string join(const std::vector<std::string>& words, const char* last_separator)
{
    std::string text;
    for (std::size_t index = 0; index < words.size(); ++index) {
        if (index > 0) {
            text += index + 1 == words.size() ? last_separator : ", ";
        }
        text += words[index];
    }
    return text;
}

json resolved(const json& schema, const json& rules)
{
    const auto reference = rules.find("$ref");
    if (reference == rules.end()) {
        return rules;
    }
    const auto path = reference->get<std::string>().substr(1); // "#/definitions/..."
    return resolved(schema, schema.at(json::json_pointer(path)));
}

json alternatives(const json& rules)
{
    for (const char* key : {"anyOf", "oneOf"}) {
        if (rules.contains(key)) {
            return rules.at(key);
        }
    }
    return json::array();
}

std::string range_of(const json& rules, const char* min_key, const char* max_key, const std::string& unit)
{
    const bool from = rules.contains(min_key);
    const bool to = rules.contains(max_key);
    if (from && to) {
        return " from " + rules.at(min_key).dump() + " to " + rules.at(max_key).dump() + unit;
    }
    if (from) {
        return " of at least " + rules.at(min_key).dump() + unit;
    }
    return to ? " of at most " + rules.at(max_key).dump() + unit : "";
}

std::string with_article(const std::string& type)
{
    const bool vowel = type.find_first_of("aeio") == 0;
    return (vowel ? "an " : "a ") + type;
}

std::string describe_type(const json& rules, const std::string& type)
{
    auto text = with_article(type);
    if (type == "integer" || type == "number") {
        return text + range_of(rules, "minimum", "maximum", "");
    }
    if (type == "string") {
        return text + range_of(rules, "minLength", "maxLength", " characters");
    }
    return type == "array" ? text + range_of(rules, "minItems", "maxItems", " items") : text;
}

std::string describe_rules(const json& schema, const json& unresolved)
{
    const auto rules = resolved(schema, unresolved);
    if (rules.contains("description")) {
        return rules.at("description").get<std::string>();
    }
    std::vector<std::string> words;
    for (const auto& choice : alternatives(rules)) {
        words.push_back(describe_rules(schema, choice));
    }
    if (!words.empty()) {
        return join(words, " or ");
    }
    if (rules.contains("enum")) {
        for (const auto& choice : rules.at("enum")) {
            words.push_back(choice.dump());
        }
        return join(words, " or ");
    }
    auto text =
        rules.contains("type") ? describe_type(rules, rules.at("type").get<std::string>()) : "another value";
    if (rules.contains("pattern")) {
        text += " that matches " + rules.at("pattern").get<std::string>();
    }
    return text;
}

/// Describes a missing or unknown key of an object; empty if there is none.
std::string key_problem(const json& rules, const json& found)
{
    for (const auto& key : rules.value("required", json::array())) {
        if (!found.contains(key.get<std::string>())) {
            return "expected the key " + key.dump() + ", found none";
        }
    }
    const bool closed = rules.contains("additionalProperties") && rules.at("additionalProperties") == false;
    if (!closed) {
        return "";
    }
    const auto known = rules.value("properties", json::object());
    for (const auto& [key, ignored] : found.items()) {
        if (known.contains(key)) {
            continue;
        }
        std::vector<std::string> names;
        for (const auto& [name, rule] : known.items()) {
            names.push_back(name);
        }
        const auto choice = names.empty() ? "no keys" : "only the keys " + join(names, " and ");
        return "expected " + choice + ", found the unknown key " + quote(key);
    }
    return "";
}

json step_into(const json& schema, const json& unresolved, const std::string& token)
{
    const auto rules = resolved(schema, unresolved);
    const auto properties = rules.value("properties", json::object());
    if (properties.contains(token)) {
        return properties.at(token);
    }
    if (rules.contains("items")) {
        return rules.at("items");
    }
    for (const auto& choice : alternatives(rules)) {
        auto found = step_into(schema, choice, token);
        if (!found.is_null()) {
            return found;
        }
    }
    return {};
}

} // namespace

json schema_at(const json& schema, const json::json_pointer& path)
{
    std::vector<std::string> tokens;
    for (auto rest = path; !rest.empty(); rest.pop_back()) {
        tokens.insert(tokens.begin(), rest.back());
    }
    json rules = schema;
    for (const auto& token : tokens) {
        rules = step_into(schema, rules, token);
        if (rules.is_null()) {
            return {};
        }
    }
    return rules;
}

std::string describe_mismatch(const json& schema, const json& unresolved, const json& found)
{
    const auto rules = resolved(schema, unresolved);
    if (found.is_object() && rules.value("type", "") == "object") {
        auto problem = key_problem(rules, found);
        if (!problem.empty()) {
            return problem;
        }
    }
    return "expected " + describe_rules(schema, rules) + ", found " + quote(found);
}

} // namespace vanillagauge::config::internal
