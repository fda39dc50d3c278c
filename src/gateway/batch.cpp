#include "gateway/batch.hpp"

#include "gateway/untrusted_json.hpp"

#include <boost/beast/core/detail/base64.hpp>

#include <charconv>
#include <cstdio>
#include <iterator>

namespace vanillagauge::gateway {

using nlohmann::json;

namespace {

/// Keeps the sums of a batch's times within what a clock can represent.
constexpr milliseconds max_batch_time = std::chrono::hours{24 * 365};
constexpr milliseconds max_unix_time = std::chrono::hours{24 * 365 * 200};

std::int64_t unix_ms(wall_time at)
{
    return std::chrono::duration_cast<milliseconds>(at.time_since_epoch()).count();
}

json to_json(const scoring_call& call)
{
    return {{"id", call.id}, {"host", call.host}, {"path", call.path}, {"body", call.body_base64}};
}

scoring_call scoring_from_json(const json& text)
{
    return {text.at("id").get<std::string>(), text.at("host").get<std::string>(),
            text.at("path").get<std::string>(), text.at("body").get<std::string>()};
}

json to_json(const batch_item& item)
{
    json fields = json::array();
    for (const auto& field : item.fields) {
        fields.push_back({field.name, field.value});
    }
    json text{{"id", item.id},
              {"path", item.path},
              {"fields", std::move(fields)},
              {"body", item.body_base64},
              {"group", item.group},
              {"tokens", item.tokens},
              {"max_output", item.max_output},
              {"hint", item.length_hint}};
    if (item.scoring) {
        text["scoring"] = to_json(*item.scoring);
    }
    return text;
}

batch_item item_from_json(const json& text)
{
    batch_item item;
    item.id = text.at("id").get<std::string>();
    item.path = text.at("path").get<std::string>();
    for (const auto& field : text.at("fields")) {
        item.fields.push_back({field.at(0).get<std::string>(), field.at(1).get<std::string>()});
    }
    item.body_base64 = text.at("body").get<std::string>();
    item.group = text.at("group").get<std::string>();
    item.tokens = integer_at<std::uint64_t>(text, "tokens");
    item.max_output = number_or(text, "max_output", 0);
    item.length_hint = number_or(text, "hint", 0);
    if (const auto scoring = text.find("scoring"); scoring != text.end()) {
        item.scoring = scoring_from_json(*scoring);
    }
    return item;
}

error decode_error(std::string what)
{
    return {error_code::invalid_argument, run_state::not_run, std::move(what)};
}

} // namespace

std::string owner_key(const batch_header& header)
{
    return header.model.empty() ? header.id : header.service + "/" + header.model;
}

double expected_output(const std::vector<batch_item>& items)
{
    double sum = 0;
    for (const auto& item : items) {
        sum += item.length_hint > 0 ? item.length_hint : item.max_output;
    }
    return sum;
}

std::string results_kind(const std::string& batch)
{
    return "results-" + batch;
}

std::string part_name(const std::string& batch, std::size_t part)
{
    return batch + "." + std::to_string(part);
}

std::string segment_name(std::size_t first)
{
    constexpr int digits = 8;
    auto text = std::to_string(first);
    return std::string(digits - std::min<std::size_t>(digits, text.size()), '0') + text;
}

json to_json(const batch_header& header)
{
    return {{"host", header.host},
            {"route", header.route},
            {"organisation", header.organisation},
            {"service", header.service},
            {"model", header.model},
            {"owner", header.owner_vm},
            {"incarnation", header.owner_incarnation},
            {"least_version", header.min_version},
            {"step", header.step},
            {"total", header.total},
            {"wanted_groups", header.wanted_groups},
            {"tokens_per_event", header.tokens_per_event},
            {"work", header.work},
            {"parts", header.parts},
            {"single_version", header.single_version},
            {"attempts", header.attempts},
            {"max_age_ms", header.max_age.count()},
            {"result_time_ms", header.result_time.count()},
            {"accepted_unix_ms", unix_ms(header.accepted)}};
}

result<batch_header> header_from_json(const std::string& id, const json& value, const json& status)
{
    return decode<batch_header>(
        value, decode_error("cannot decode batch " + id), [&](const json& from) -> result<batch_header> {
            batch_header header;
            header.id = id;
            header.host = from.at("host").get<std::string>();
            header.route = from.at("route").get<std::string>();
            header.organisation = from.value("organisation", std::string{});
            header.service = from.at("service").get<std::string>();
            header.model = from.at("model").get<std::string>();
            header.owner_vm = from.at("owner").get<std::string>();
            header.owner_incarnation = integer_at<std::uint64_t>(from, "incarnation");
            header.min_version = integer_at<std::uint64_t>(from, "least_version");
            header.step = integer_at<std::uint64_t>(from, "step");
            header.total = integer_at<std::size_t>(from, "total");
            header.wanted_groups = integer_at<std::size_t>(from, "wanted_groups");
            header.tokens_per_event = number_or(from, "tokens_per_event", 0);
            header.work = number_or(from, "work", 0);
            header.parts = integer_at<std::size_t>(from, "parts");
            header.single_version = from.at("single_version").get<bool>();
            header.attempts = integer_at<int>(from, "attempts");
            header.max_age = milliseconds_at(from, "max_age_ms", milliseconds{0}, max_batch_time);
            header.result_time = milliseconds_at(from, "result_time_ms", milliseconds{0}, max_batch_time);
            header.accepted =
                wall_time{milliseconds_at(from, "accepted_unix_ms", milliseconds{0}, max_unix_time)};
            header.ended = status.is_object() && status.value("ended", false);
            return header;
        });
}

json to_json(const result_segment& segment)
{
    json results = json::array();
    for (const auto& entry : segment.results) {
        json text{{"id", entry.id},
                  {"completed", entry.state == item_state::completed},
                  {"text", entry.text},
                  {"versions", entry.versions}};
        if (!entry.score.empty()) {
            text["score"] = entry.score;
        }
        results.push_back(std::move(text));
    }
    return {{"writer", segment.writer}, {"results", std::move(results)}};
}

result<result_segment> segment_from_json(const std::string& name, const json& value)
{
    return decode<result_segment>(
        value, decode_error("cannot decode result segment " + name),
        [&](const json& from) -> result<result_segment> {
            result_segment segment;
            const auto parsed = std::from_chars(name.data(), name.data() + name.size(), segment.first);
            if (parsed.ec != std::errc{}) {
                return error{error_code::invalid_argument, run_state::not_run,
                             "segment name is not a position: " + name};
            }
            segment.writer = from.at("writer").get<std::string>();
            for (const auto& entry : from.at("results")) {
                item_result result;
                result.id = entry.at("id").get<std::string>();
                result.state =
                    entry.at("completed").get<bool>() ? item_state::completed : item_state::terminated;
                result.text = entry.at("text").get<std::string>();
                result.versions = integers_at<std::uint64_t>(entry, "versions");
                result.score = entry.value("score", std::string{});
                segment.results.push_back(std::move(result));
            }
            return segment;
        });
}

std::size_t bytes_of(const batch_item& item)
{
    std::size_t all =
        sizeof item + item.id.size() + item.path.size() + item.body_base64.size() + item.group.size();
    for (const auto& field : item.fields) {
        all += sizeof field + field.name.size() + field.value.size();
    }
    return item.scoring ? all + item.scoring->body_base64.size() : all;
}

std::size_t bytes_of(const std::vector<batch_item>& items)
{
    std::size_t all = 0;
    for (const auto& item : items) {
        all += bytes_of(item);
    }
    return all;
}

std::vector<item_range> part_ranges(const std::vector<batch_item>& items, std::size_t max_bytes)
{
    constexpr std::size_t other_bytes = 400; // ids, field names and JSON punctuation of an item
    std::vector<item_range> parts;
    for (std::size_t index = 0; index < items.size(); ++index) {
        const auto& item = items[index];
        auto size = item.body_base64.size() + item.path.size() + other_bytes;
        for (const auto& field : item.fields) {
            size += field.name.size() + field.value.size();
        }
        if (item.scoring) {
            size += item.scoring->body_base64.size() + item.scoring->path.size() + other_bytes;
        }
        if (parts.empty() || parts.back().bytes + size > max_bytes) {
            parts.push_back({index, index, 0});
        }
        parts.back().end = index + 1;
        parts.back().bytes += size;
    }
    return parts;
}

json to_part(const std::vector<batch_item>& items, const item_range& range)
{
    json part{{"items", json::array()}};
    for (std::size_t index = range.first; index < range.end; ++index) {
        part["items"].push_back(to_json(items[index]));
    }
    return part;
}

std::vector<json> to_parts(const std::vector<batch_item>& items, std::size_t max_bytes)
{
    std::vector<json> parts;
    for (const auto& range : part_ranges(items, max_bytes)) {
        parts.push_back(to_part(items, range));
    }
    return parts;
}

result<std::vector<batch_item>> items_from_json(const json& part)
{
    return decode<std::vector<batch_item>>(part, decode_error("cannot decode the items of a batch"),
                                           [&](const json& from) -> result<std::vector<batch_item>> {
                                               std::vector<batch_item> items;
                                               for (const auto& entry : from.at("items")) {
                                                   items.push_back(item_from_json(entry));
                                               }
                                               return items;
                                           });
}

result<std::vector<batch_item>> items_from_parts(const json& parts)
{
    std::vector<batch_item> items;
    for (const auto& part : parts) {
        auto parsed = items_from_json(part);
        if (!ok(parsed)) {
            return failure(parsed);
        }
        std::move(value(parsed).begin(), value(parsed).end(), std::back_inserter(items));
    }
    return items;
}

result<std::string> decode_base64(std::string_view text)
{
    namespace base64 = boost::beast::detail::base64;
    std::string plain(base64::decoded_size(text.size()), '\0');
    const auto [written, taken] = base64::decode(plain.data(), text.data(), text.size());
    const auto rest = text.substr(taken).find_first_not_of('=');
    if (rest != std::string_view::npos || text.size() % 4 != 0) {
        return error{error_code::invalid_argument, run_state::not_run, "invalid base64"};
    }
    plain.resize(written);
    return plain;
}

} // namespace vanillagauge::gateway
