#include "config/internal/schema_check.hpp"

#include "config/internal/mismatch.hpp"
#include "json/json.hpp"

#include <valijson/adapters/nlohmann_json_adapter.hpp>
#include <valijson/schema.hpp>
#include <valijson/schema_parser.hpp>
#include <valijson/validation_results.hpp>
#include <valijson/validator.hpp>

namespace vanillagauge::config::internal {
namespace {

using nlohmann::json;

/// Converts valijson's context, such as `<root>[keeper][seeds]`, to the JSON pointer /keeper/seeds.
json::json_pointer to_pointer(const std::vector<std::string>& context)
{
    json::json_pointer pointer;
    for (const auto& part : context) {
        if (part != "<root>") {
            pointer.push_back(part.size() > 2 && part.front() == '[' ? part.substr(1, part.size() - 2)
                                                                     : part);
        }
    }
    return pointer;
}

/// Enclosing values are reported only because an inner one is invalid, so the deepest path is the cause.
json::json_pointer deepest_path(valijson::ValidationResults& problems)
{
    std::vector<std::string> deepest;
    valijson::ValidationResults::Error problem;
    while (problems.popError(problem)) {
        if (problem.context.size() > deepest.size()) {
            deepest = problem.context;
        }
    }
    return to_pointer(deepest);
}

std::string describe_problem(const json& schema, const json& document, const json::json_pointer& pointer)
{
    const auto path = pointer.empty() ? "/" : pointer.to_string();
    return "at " + path + ": " + describe_mismatch(schema, schema_at(schema, pointer), document.at(pointer));
}

std::string describe_malformed(const std::string& text)
{
    try {
        [[maybe_unused]] const auto deep = json::parse(text);
        return "values nested deeper than " + std::to_string(max_json_depth) + " levels";
    }
    catch (const json::exception& malformed) {
        return malformed.what();
    }
}

} // namespace

result<json> parse_checked(const std::string& text, const char* schema, const std::string& origin)
{
    json document = parse_json(text);
    if (document.is_discarded()) {
        return error{error_code::invalid_argument, run_state::not_run,
                     origin + ": expected JSON, found: " + describe_malformed(text)};
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
    return error{error_code::invalid_argument, run_state::not_run,
                 origin + ": " + describe_problem(schema_document, document, deepest_path(problems))};
}

} // namespace vanillagauge::config::internal
