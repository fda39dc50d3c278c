#include "config/settings.hpp"

#include "config/internal/schema_check.hpp"

#include <algorithm>
#include <fstream>
#include <sstream>

namespace vanillagauge::config {
namespace {

using nlohmann::json;
using namespace nlohmann::literals;

constexpr const char* settings_schema = R"json({
  "type": "object",
  "additionalProperties": false,
  "required": ["vm", "failure_domain", "platform", "tokens", "keeper"],
  "definitions": {
    "address": {"type": "string", "pattern": "^[0-9a-fA-F.:]+:[0-9]{1,5}$",
                "description": "an address as IP:PORT"},
    "optional_address": {"type": "string", "pattern": "^([0-9a-fA-F.:]+:[0-9]{1,5})?$",
                         "description": "an address as IP:PORT, or nothing"},
    "token": {"type": "string", "minLength": 8, "description": "a token of at least 8 characters"},
    "listen": {
      "type": "object",
      "additionalProperties": false,
      "properties": {
        "http_listen": {"$ref": "#/definitions/address"},
        "peer_listen": {"$ref": "#/definitions/address"}
      }
    }
  },
  "properties": {
    "vm": {"type": "string", "minLength": 1},
    "failure_domain": {"type": "string", "minLength": 1},
    "data_folder": {"type": "string"},
    "log_level": {"enum": ["debug", "info", "warning", "error"]},
    "span_file": {"type": "string"},
    "record_file": {"type": "string"},
    "http_threads": {"type": "integer", "minimum": 2, "maximum": 64},
    "drain_time_ms": {"type": "integer", "minimum": 0, "maximum": 600000},
    "platform": {"$ref": "#/definitions/address"},
    "tokens": {
      "type": "object",
      "additionalProperties": false,
      "required": ["caller", "trainer", "operator", "peer"],
      "properties": {
        "caller": {"$ref": "#/definitions/token"},
        "trainer": {"$ref": "#/definitions/token"},
        "operator": {"$ref": "#/definitions/token"},
        "peer": {"$ref": "#/definitions/token"}
      }
    },
    "keeper": {
      "type": "object",
      "additionalProperties": false,
      "required": ["address"],
      "properties": {
        "peer_listen": {"$ref": "#/definitions/address"},
        "operator_listen": {"$ref": "#/definitions/address"},
        "address": {"$ref": "#/definitions/address"},
        "seeds": {"type": "array", "items": {"$ref": "#/definitions/address"}}
      }
    },
    "entry": {
      "type": "object",
      "additionalProperties": false,
      "properties": {
        "http_listen": {"$ref": "#/definitions/address"},
        "peer_listen": {"$ref": "#/definitions/address"},
        "policy": {"enum": ["adaptive", "plain"]}
      }
    },
    "rollout": {"$ref": "#/definitions/listen"},
    "gateway": {
      "type": "object",
      "additionalProperties": false,
      "required": ["relay_listen"],
      "properties": {
        "front_listen": {"$ref": "#/definitions/optional_address"},
        "ready_listen": {"$ref": "#/definitions/optional_address"},
        "directory_listen": {"$ref": "#/definitions/optional_address"},
        "metrics_listen": {"$ref": "#/definitions/optional_address"},
        "relay_listen": {"$ref": "#/definitions/address"},
        "model_order_holder": {"type": "string"},
        "stop_grace_s": {"type": "number", "minimum": 0},
        "order_lease_ms": {"type": "number", "minimum": 0},
        "advice_time_ms": {"type": "number", "minimum": 100, "maximum": 600000},
        "cpu_share": {"type": "number", "minimum": 0},
        "memory_mb": {"type": "number", "minimum": 0},
        "file_descriptors": {"type": "number", "minimum": 0},
        "duties_address": {"$ref": "#/definitions/optional_address"},
        "usage_window_s": {"type": "number", "minimum": 0},
        "usage_due_s": {"type": "number", "minimum": 0},
        "max_direct_pairs": {"type": "integer", "minimum": 0, "maximum": 1000000},
        "running_batches": {"type": "integer", "minimum": 1, "maximum": 1000000}
      }
    }
  }
})json";

constexpr double bytes_per_mb = 1U << 20U;

template <class Value>
void read(const json& from, const char* key, Value& into)
{
    const auto found = from.find(key);
    if (found != from.end()) {
        found->get_to(into);
    }
}

listen_settings parse_listen(const json& all, const char* key)
{
    listen_settings parsed;
    const auto found = all.find(key);
    if (found != all.end()) {
        read(*found, "http_listen", parsed.http_listen);
        read(*found, "peer_listen", parsed.peer_listen);
    }
    return parsed;
}

/// A platform fills these settings in with figures of a deployment. One out of range must not keep the
/// program from starting, so it is limited where it is read.
struct duration_range {
    milliseconds shortest{0};
    milliseconds longest = std::chrono::hours(24) * 366; ///< sums of such durations fit a clock's range
};

/// A shorter lease would end before its renewal; keeping orders further apart is safe. With a longer one a
/// successor would have to wait beyond the longest wait that a stored lease may ask for.
constexpr duration_range order_lease_range{.shortest = milliseconds{100},
                                           .longest = std::chrono::minutes(10)};
/// Counts of other gateways must arrive within a third of it.
constexpr duration_range usage_due_range{.shortest = milliseconds{100}};

/// In cores; more would overflow a count of thousandths.
constexpr double max_cpu_share = 1024;
constexpr double max_file_descriptors = 1U << 24U;
/// More would overflow a count of bytes.
constexpr double max_memory_mb = 1U << 24U;

milliseconds read_duration(const json& from, const char* key, milliseconds unit, milliseconds fallback,
                           duration_range range = {})
{
    const auto found = from.find(key);
    if (found == from.end()) {
        return fallback;
    }
    const auto read = found->get<double>() * static_cast<double>(unit.count());
    const auto shortest = static_cast<double>(range.shortest.count());
    const auto longest = static_cast<double>(range.longest.count());
    return milliseconds{static_cast<std::int64_t>(std::clamp(read, shortest, longest))};
}

gateway_settings parse_gateway(const json& all)
{
    gateway_settings parsed;
    const auto found = all.find("gateway");
    if (found == all.end()) {
        return parsed;
    }
    read(*found, "front_listen", parsed.front_listen);
    read(*found, "ready_listen", parsed.ready_listen);
    read(*found, "directory_listen", parsed.directory_listen);
    read(*found, "metrics_listen", parsed.metrics_listen);
    read(*found, "relay_listen", parsed.relay_listen);
    read(*found, "model_order_holder", parsed.model_order_holder);
    read(*found, "cpu_share", parsed.cpu_share);
    parsed.cpu_share = std::min(parsed.cpu_share, max_cpu_share);
    parsed.memory_bytes =
        static_cast<std::size_t>(std::min(found->value("memory_mb", 0.0), max_memory_mb) * bytes_per_mb);
    parsed.file_descriptors =
        static_cast<std::size_t>(std::min(found->value("file_descriptors", 0.0), max_file_descriptors));
    read(*found, "max_direct_pairs", parsed.max_direct_pairs);
    read(*found, "running_batches", parsed.running_batches);
    parsed.stop_grace = read_duration(*found, "stop_grace_s", seconds{1}, parsed.stop_grace);
    parsed.order_lease =
        read_duration(*found, "order_lease_ms", milliseconds{1}, parsed.order_lease, order_lease_range);
    read(*found, "duties_address", parsed.duties_address);
    parsed.usage_window = read_duration(*found, "usage_window_s", seconds{1}, parsed.usage_window);
    parsed.usage_due = read_duration(*found, "usage_due_s", seconds{1}, parsed.usage_due, usage_due_range);
    parsed.advice_time = read_duration(*found, "advice_time_ms", milliseconds{1}, parsed.advice_time);
    return parsed;
}

settings read_settings(const json& all)
{
    settings parsed;
    read(all, "vm", parsed.vm);
    read(all, "failure_domain", parsed.failure_domain);
    read(all, "data_folder", parsed.data_folder);
    read(all, "log_level", parsed.log_level);
    read(all, "span_file", parsed.span_file);
    read(all, "record_file", parsed.record_file);
    read(all, "http_threads", parsed.http_threads);
    read(all, "platform", parsed.platform);
    parsed.drain_time = milliseconds{all.value("drain_time_ms", parsed.drain_time.count())};
    const auto& tokens = all.at("tokens");
    read(tokens, "caller", parsed.tokens.caller);
    read(tokens, "trainer", parsed.tokens.trainer);
    read(tokens, "operator", parsed.tokens.operators);
    read(tokens, "peer", parsed.tokens.peer);
    const auto& keeper = all.at("keeper");
    read(keeper, "peer_listen", parsed.keeper.peer_listen);
    read(keeper, "operator_listen", parsed.keeper.operator_listen);
    read(keeper, "address", parsed.keeper.address);
    read(keeper, "seeds", parsed.keeper.seeds);
    parsed.entry = parse_listen(all, "entry");
    const bool plain = all.value("/entry/policy"_json_pointer, "adaptive") == "plain";
    parsed.entry_policy = plain ? entry_policy::plain : entry_policy::adaptive;
    parsed.rollout = parse_listen(all, "rollout");
    parsed.gateway = parse_gateway(all);
    return parsed;
}

} // namespace

result<settings> load_settings(const std::string& path)
{
    std::ifstream file(path);
    if (!file) {
        return error{error_code::not_found, run_state::not_run, path + ": expected a readable settings file"};
    }
    std::ostringstream text;
    text << file.rdbuf();
    return parse_settings(text.str(), path);
}

result<settings> parse_settings(const std::string& text, const std::string& origin)
{
    const auto parsed = internal::parse_checked(text, settings_schema, origin);
    if (!ok(parsed)) {
        return failure(parsed);
    }
    auto filled = read_settings(value(parsed));
    filled.file = origin;
    return filled;
}

} // namespace vanillagauge::config
