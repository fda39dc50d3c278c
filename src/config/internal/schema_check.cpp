#include "config/internal/schema_check.hpp"

#include <valijson/adapters/nlohmann_json_adapter.hpp>
#include <valijson/schema.hpp>
#include <valijson/schema_parser.hpp>
#include <valijson/validation_results.hpp>
#include <valijson/validator.hpp>

namespace vanillagauge::config::internal {
namespace {

using nlohmann::json;

/// `<root>[keeper][seeds]` as `/keeper/seeds`.
std::string readable_path(const std::vector<std::string>& context)
{
    std::string path;
    for (const auto& part : context) {
        if (part == "<root>") {
            continue;
        }
        path += "/" + (part.size() > 2 && part.front() == '[' ? part.substr(1, part.size() - 2) : part);
    }
    return path.empty() ? "/" : path;
}

std::string found_at(const json& whole, const std::string& path)
{
    constexpr std::size_t longest = 80;
    try {
        return whole.at(json::json_pointer(path == "/" ? "" : path)).dump().substr(0, longest);
    }
    catch (const json::exception&) {
        return "nothing";
    }
}

} // namespace

result<json> parse_checked(const std::string& text, const char* schema, const std::string& origin)
{
    json document;
    try {
        document = json::parse(text);
    }
    catch (const json::exception& malformed) {
        return error{error_code::invalid_argument, run_state::not_run,
                     origin + ": expected JSON, found: " + malformed.what()};
    }
    const json schema_document = json::parse(schema);
    valijson::Schema parsed_schema;
    valijson::SchemaParser().populateSchema(valijson::adapters::NlohmannJsonAdapter(schema_document),
                                            parsed_schema);
    valijson::ValidationResults problems;
    valijson::Validator validator;
    if (validator.validate(parsed_schema, valijson::adapters::NlohmannJsonAdapter(document), &problems)) {
        return document;
    }
    // The last problem is the outermost summary; the first names the innermost place.
    valijson::ValidationResults::Error problem;
    problems.popError(problem);
    const auto path = readable_path(problem.context);
    return error{error_code::invalid_argument, run_state::not_run,
                 origin + ": at " + path + ": " + problem.description +
                     " Found: " + found_at(document, path)};
}

} // namespace vanillagauge::config::internal
