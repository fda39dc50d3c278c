#include "config/specs.hpp"

#include "config/internal/schema_check.hpp"

#include <set>

namespace vanillagauge::config {
namespace {

using nlohmann::json;

constexpr const char* deployment_schema = R"json({
  "type": "object",
  "additionalProperties": false,
  "required": ["kind", "targets"],
  "properties": {
    "kind": {"enum": ["engine", "service"]},
    "fencing": {"enum": ["enforced", "ignored"]},
    "default_deadline_ms": {"type": "integer", "minimum": 1, "maximum": 600000},
    "targets": {
      "type": "array",
      "items": {
        "type": "object",
        "additionalProperties": false,
        "required": ["id", "address", "failure_domain"],
        "properties": {
          "id": {"type": "string", "minLength": 1},
          "address": {"type": "string", "pattern": "^[0-9a-fA-F.:]+:[0-9]{1,5}$",
                "description": "an address as IP:PORT"},
          "failure_domain": {"type": "string", "minLength": 1},
          "leaving": {"type": "boolean"}
        }
      }
    }
  }
})json";

constexpr const char* job_schema = R"json({
  "type": "object",
  "additionalProperties": false,
  "required": ["deployment", "prompts"],
  "properties": {
    "deployment": {"type": "string", "minLength": 1},
    "scorer": {"type": "string"},
    "group_size": {"type": "integer", "minimum": 1, "maximum": 256},
    "groups_per_step": {"type": "integer", "minimum": 1, "maximum": 4096},
    "max_staleness": {"type": "integer", "minimum": 0, "maximum": 1000},
    "max_tokens": {"type": "integer", "minimum": 1, "maximum": 1000000},
    "weight": {"type": "integer", "minimum": 1, "maximum": 1000},
    "preference": {"enum": ["staleness", "idle"]},
    "plain": {"type": "boolean"},
    "prompts": {"type": "array", "minItems": 1, "items": {"type": "string"}}
  }
})json";

/// A drain object names a VM to drain; deleting the object ends the drain.
constexpr const char* drain_schema = R"json({"type": "object", "additionalProperties": false})json";

std::string origin_of(const std::string& kind, const std::string& name)
{
    return kind + "/" + name;
}

result<done> check_unique_ids(const deployment_spec& spec)
{
    std::set<std::string> ids;
    for (const auto& target : spec.targets) {
        if (!ids.insert(target.id).second) {
            return error{error_code::invalid_argument, run_state::not_run,
                         origin_of("deployment", spec.name) +
                             ": at /targets: expected distinct ids, found \"" + target.id + "\" twice"};
        }
    }
    return done{};
}

} // namespace

result<deployment_spec> parse_deployment(const std::string& name, const std::string& spec_json)
{
    const auto checked = internal::parse_checked(spec_json, deployment_schema, origin_of("deployment", name));
    if (!ok(checked)) {
        return failure(checked);
    }
    const json& all = value(checked);
    deployment_spec spec;
    spec.name = name;
    spec.kind = all.at("kind") == "engine" ? target_kind::engine : target_kind::service;
    spec.fencing =
        all.value("fencing", "ignored") == "enforced" ? fencing_mode::enforced : fencing_mode::ignored;
    spec.default_deadline = milliseconds{all.value("default_deadline_ms", spec.default_deadline.count())};
    for (const auto& item : all.at("targets")) {
        target_spec target;
        item.at("id").get_to(target.id);
        item.at("address").get_to(target.address);
        item.at("failure_domain").get_to(target.failure_domain);
        target.leaving = item.value("leaving", false);
        spec.targets.push_back(std::move(target));
    }
    const auto unique = check_unique_ids(spec);
    if (!ok(unique)) {
        return failure(unique);
    }
    return spec;
}

result<job_spec> parse_job(const std::string& name, const std::string& spec_json)
{
    const auto checked = internal::parse_checked(spec_json, job_schema, origin_of("job", name));
    if (!ok(checked)) {
        return failure(checked);
    }
    const json& all = value(checked);
    job_spec spec;
    spec.name = name;
    all.at("deployment").get_to(spec.deployment);
    spec.scorer = all.value("scorer", spec.scorer);
    spec.group_size = all.value("group_size", spec.group_size);
    spec.groups_per_step = all.value("groups_per_step", spec.groups_per_step);
    spec.max_staleness = all.value("max_staleness", spec.max_staleness);
    spec.max_tokens = all.value("max_tokens", spec.max_tokens);
    spec.weight = all.value("weight", spec.weight);
    spec.preference =
        all.value("preference", "staleness") == "idle" ? job_preference::idle : job_preference::staleness;
    spec.plain = all.value("plain", spec.plain);
    all.at("prompts").get_to(spec.prompts);
    return spec;
}

result<done> check_object(const std::string& kind, const std::string& name, const std::string& spec_json)
{
    if (kind == "deployment") {
        const auto parsed = parse_deployment(name, spec_json);
        return ok(parsed) ? result<done>(done{}) : result<done>(failure(parsed));
    }
    if (kind == "job") {
        const auto parsed = parse_job(name, spec_json);
        return ok(parsed) ? result<done>(done{}) : result<done>(failure(parsed));
    }
    if (kind == "drain") {
        const auto parsed = internal::parse_checked(spec_json, drain_schema, origin_of(kind, name));
        return ok(parsed) ? result<done>(done{}) : result<done>(failure(parsed));
    }
    return error{error_code::invalid_argument, run_state::not_run,
                 "expected the kind deployment, job or drain, found \"" + kind + "\""};
}

} // namespace vanillagauge::config
