#include "odd_entry.hpp"

#include <string_view>
#include <utility>

namespace vanillagauge::odd_entries {

namespace {

constexpr std::size_t deep = 199'000; ///< its brackets stay under the 400 KB that a value may have
constexpr std::size_t megabyte = 1'000'000;

using fields = std::map<std::string, std::string>; ///< JSON text by name

std::string quoted(std::string_view text)
{
    return '"' + std::string(text) + '"';
}

std::string object_of(const fields& members)
{
    std::string text = "{";
    for (const auto& [key, value] : members) {
        text += (text.size() > 1 ? "," : "") + quoted(key) + ':' + value;
    }
    return text + '}';
}

fields sound_metadata(std::string_view called, std::uint64_t revision)
{
    return {{"Name", quoted(called)},
            {"Revision", std::to_string(revision)},
            {"Created", "0"},
            {"Deleting", "false"}};
}

fields sound_specification(const sound_entry& sound)
{
    return {{"Service", quoted(sound.service)},
            {"Address", quoted(sound.address)},
            {"Zone", quoted("z1")},
            {"Version", quoted("v1")},
            {"Slots", "4"},
            {"State", quoted("ready")},
            {"ColdRemainingMs", "0"},
            {"Sequence", std::to_string(1)},
            {"Models", "[]"}};
}

std::string whole(const fields& metadata, const fields& specification)
{
    return object_of({{"Metadata", object_of(metadata)}, {"Specification", object_of(specification)}});
}

entry_text with_field(std::string field, std::string text)
{
    return
        [field = std::move(field), text = std::move(text)](const sound_entry& sound, std::uint64_t revision) {
            auto specification = sound_specification(sound);
            specification[field] = text;
            return whole(sound_metadata(sound.name, revision), specification);
        };
}

entry_text with_metadata(std::string field, std::string text)
{
    return
        [field = std::move(field), text = std::move(text)](const sound_entry& sound, std::uint64_t revision) {
            auto metadata = sound_metadata(sound.name, revision);
            metadata[field] = text;
            return whole(metadata, sound_specification(sound));
        };
}

entry_text with_port(std::string port)
{
    return [port = std::move(port)](const sound_entry& sound, std::uint64_t revision) {
        auto specification = sound_specification(sound);
        specification["Address"] = quoted(sound.address.substr(0, sound.address.find(':') + 1) + port);
        return whole(sound_metadata(sound.name, revision), specification);
    };
}

std::string without_revision(const sound_entry& sound, std::uint64_t revision)
{
    auto metadata = sound_metadata(sound.name, revision);
    metadata.erase("Revision");
    return whole(metadata, sound_specification(sound));
}

std::string of_other_name(const sound_entry& sound, std::uint64_t revision)
{
    return whole(sound_metadata(sound.other_name, revision), sound_specification(sound));
}

std::string of_gateway(const sound_entry& sound, std::uint64_t revision)
{
    auto specification = sound_specification(sound);
    specification["Address"] = quoted(sound.gateway_address);
    return whole(sound_metadata(sound.name, revision), specification);
}

std::string null_object(const sound_entry& /*sound*/, std::uint64_t /*revision*/)
{
    return "null";
}

/// An array of the element, of about this many bytes.
std::string repeated(std::string_view element, std::size_t bytes)
{
    std::string text = "[";
    while (text.size() < bytes) {
        text.append(element).append(",");
    }
    return text.append(element).append("]");
}

std::string nested(std::size_t depth)
{
    return std::string(depth, '[') + std::string(depth, ']');
}

} // namespace

const std::map<std::string, odd_entry>& all_kinds()
{
    static const std::map<std::string, odd_entry> kinds{
        {"none", {with_field("Other", "1")}},
        {"nested", {with_field("Other", nested(deep))}},
        {"dense_objects", {with_field("Other", repeated("{}", megabyte)), "servers", 3}},
        {"dense_arrays", {with_field("Other", repeated("[]", megabyte)), "servers", 3}},
        {"dense_strings", {with_field("Other", repeated(quoted(""), megabyte)), "servers", 3}},
        {"dense_numbers", {with_field("Other", repeated("0", megabyte)), "servers", 3}},
        {"dense_in_batches", {with_field("Other", repeated("{}", megabyte)), "batches", 3}},
        {"nested_metadata", {with_metadata("Other", nested(deep))}},
        {"large_number", {with_field("Other", "1e999")}},
        {"large_slots", {with_field("Slots", "1e999")}},
        {"large_cold_time", {with_field("ColdRemainingMs", "1e300")}},
        {"port_70000", {with_port("70000")}},
        {"port_0", {with_port("0")}},
        {"address_empty", {with_field("Address", quoted(""))}},
        {"address_without_host", {with_field("Address", quoted(":8080"))}},
        {"address_ipv6", {with_field("Address", quoted("[::1]:8080"))}},
        {"address_number", {with_field("Address", "7")}},
        {"address_megabyte", {with_field("Address", quoted(std::string(megabyte, '1') + ":80"))}},
        {"slots_1e300", {with_field("Slots", "1e300")}},
        {"slots_negative", {with_field("Slots", "-1")}},
        {"slots_null", {with_field("Slots", "null")}},
        {"slots_text", {with_field("Slots", quoted("many"))}},
        {"slots_huge", {with_field("Slots", "2147483647")}},
        {"slots_too_wide", {with_field("Slots", "18446744073709551615")}},
        {"cold_time_negative", {with_field("ColdRemainingMs", "-9223372036854775808")}},
        {"sequence_1e300", {with_field("Sequence", "1e300")}},
        {"models_object", {with_field("Models", "{\"a\":{}}")}},
        {"models_numbers", {with_field("Models", "[1,null,\"a\"]")}},
        {"model_version_1e300", {with_field("Models", "[{\"Name\":\"m\",\"Version\":1e300}]")}},
        {"not_utf8", {with_field("Zone", "\"z\xff\xfe\"")}},
        {"name_megabyte", {with_metadata("Name", quoted(std::string(megabyte, 'n')))}},
        {"name_with_slash", {with_metadata("Name", quoted("i-a/b/../c"))}},
        {"name_empty", {with_metadata("Name", quoted(""))}},
        {"name_number", {with_metadata("Name", "5")}},
        {"revision_text", {with_metadata("Revision", quoted("new"))}},
        {"revision_1e300", {with_metadata("Revision", "1e300")}},
        {"without_revision", {without_revision}},
        {"name_twice", {of_other_name}},
        {"of_gateway", {of_gateway}},
        {"null_object", {null_object}},
        {"nested_in_batches", {with_field("Other", nested(deep)), "batches"}},
        {"nested_in_gateways", {with_field("Other", nested(deep)), "gateways"}},
        {"nested_in_retirements", {with_field("Other", nested(deep)), "retirements"}},
        {"nested_in_versions", {with_field("Other", nested(deep)), "versions"}},
    };
    return kinds;
}

} // namespace vanillagauge::odd_entries
