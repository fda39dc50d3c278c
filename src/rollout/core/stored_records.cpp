#include "rollout/core/stored_records.hpp"

#include "json/json.hpp"

namespace vanillagauge::rollout {

using nlohmann::json;

std::string holder_in(const std::string& lease)
{
    const auto read = parse_json(lease);
    const auto holder = read.is_object() ? read.find("holder") : read.end();
    return holder != read.end() && holder->is_string() ? holder->get<std::string>() : std::string{};
}

std::string to_text(const samples::checkpoint& record)
{
    return json{{"step", record.step}, {"trainer_version", record.trainer_version}}.dump();
}

std::optional<samples::checkpoint> checkpoint_from_text(const std::string& text)
{
    const auto read = parse_json(text);
    if (!read.is_object() || !read.contains("step") || !read.contains("trainer_version")) {
        return std::nullopt;
    }
    const auto step = checked_integer<std::int64_t>(read["step"]);
    const auto version = checked_integer<std::uint64_t>(read["trainer_version"]);
    if (!step || !version) {
        return std::nullopt;
    }
    return samples::checkpoint{*step, *version};
}

} // namespace vanillagauge::rollout
