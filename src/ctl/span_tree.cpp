#include "ctl/span_tree.hpp"

#include "ctl/format.hpp"
#include "json/json.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <cstdio>
#include <fstream>
#include <iterator>
#include <map>
#include <set>
#include <sstream>
#include <stdexcept>

namespace vanillagauge::ctl {
namespace {

using nlohmann::json;
using std::chrono::nanoseconds;

constexpr std::size_t trace_id_start = 3;
constexpr std::size_t trace_id_digits = 32;
constexpr int json_indent = 2;
/// More than a request has; what is below starts another tree.
constexpr std::size_t max_levels = 64;

std::vector<std::pair<std::string, std::string>> attributes_of(const json& holder)
{
    std::vector<std::pair<std::string, std::string>> found;
    for (const auto& item : holder.value("attributes", json::array())) {
        found.emplace_back(item.at("key").get<std::string>(),
                           item.at("value").value("stringValue", std::string()));
    }
    return found;
}

std::string attribute(const json& holder, const std::string& key)
{
    for (const auto& [name, text] : attributes_of(holder)) {
        if (name == key) {
            return text;
        }
    }
    return "";
}

nanoseconds time_of(const json& span, const char* key)
{
    const nanoseconds time{std::stoll(span.at(key).get<std::string>())};
    if (time < nanoseconds{0}) {
        throw std::out_of_range("a time before 1970");
    }
    return time;
}

void append_spans(const json& resource, std::vector<span_record>& into)
{
    for (const auto& scope : resource.at("scopeSpans")) {
        for (const auto& span : scope.at("spans")) {
            span_record record;
            record.trace_id = span.at("traceId").get<std::string>();
            record.span_id = span.at("spanId").get<std::string>();
            record.parent_id = span.value("parentSpanId", "");
            record.name = span.at("name").get<std::string>();
            record.program = attribute(resource.at("resource"), "service.name");
            record.vm = attribute(resource.at("resource"), "vm");
            record.start = time_of(span, "startTimeUnixNano");
            record.end = time_of(span, "endTimeUnixNano");
            record.attributes = attributes_of(span);
            into.push_back(std::move(record));
        }
    }
}

void append_line(const std::string& line, std::vector<span_record>& into)
{
    try {
        const auto document = parse_json(line);
        for (const auto& resource : document.at("resourceSpans")) {
            append_spans(resource, into);
        }
    }
    catch (const std::exception&) { // NOLINT(bugprone-empty-catch): not a complete span
    }
}

std::string milliseconds_text(nanoseconds time)
{
    constexpr int width = 24;
    constexpr double nanoseconds_in_one = 1e6;
    std::array<char, width> text{};
    std::snprintf(text.data(), text.size(), "%.3f", static_cast<double>(time.count()) / nanoseconds_in_one);
    return text.data();
}

std::string notes_text(const span_record& span)
{
    std::string text;
    for (const auto& [key, note] : span.attributes) {
        text += (text.empty() ? "" : ", ") + key + "=" + note;
    }
    return text;
}

using children_index = std::multimap<std::string, const span_record*>;

/// `visited` prevents endless recursion on a cycle of parents. Spans below the last of the levels are left
/// out.
span_node build_subtree(const span_record& span, const children_index& children,
                        std::set<std::string>& visited, std::size_t levels)
{
    span_node subtree{span, {}};
    if (levels <= 1) {
        return subtree;
    }
    const auto [first, last] = children.equal_range(span.span_id);
    for (auto place = first; place != last; ++place) {
        if (visited.insert(place->second->span_id).second) {
            subtree.children.push_back(build_subtree(*place->second, children, visited, levels - 1));
        }
    }
    std::sort(
        subtree.children.begin(), subtree.children.end(),
        [](const span_node& left, const span_node& right) { return left.span.start < right.span.start; });
    return subtree;
}

void add_rows(const span_node& at, std::size_t depth, nanoseconds origin,
              std::vector<std::vector<std::string>>& rows)
{
    const auto& span = at.span;
    rows.push_back({std::string(2 * depth, ' ') + span.name, span.program, span.vm,
                    "+" + milliseconds_text(span.start - origin), milliseconds_text(span.end - span.start),
                    notes_text(span)});
    for (const auto& child : at.children) {
        add_rows(child, depth + 1, origin, rows);
    }
}

json to_json(const span_node& at)
{
    json notes = json::array();
    for (const auto& [key, note] : at.span.attributes) {
        notes.push_back({{"key", key}, {"value", note}});
    }
    json children = json::array();
    for (const auto& child : at.children) {
        children.push_back(to_json(child));
    }
    return {{"name", at.span.name},
            {"span_id", at.span.span_id},
            {"program", at.span.program},
            {"vm", at.span.vm},
            {"start_ns", at.span.start.count()},
            {"duration_ns", (at.span.end - at.span.start).count()},
            {"notes", notes},
            {"children", children}};
}

} // namespace

std::vector<span_record> parse_spans(const std::string& text)
{
    std::vector<span_record> spans;
    std::istringstream lines(text);
    for (std::string line; std::getline(lines, line);) {
        append_line(line, spans);
    }
    return spans;
}

result<std::vector<span_record>> read_spans(const std::vector<std::string>& files)
{
    std::vector<span_record> spans;
    for (const auto& file : files) {
        std::ifstream in(file);
        if (!in) {
            return error{error_code::not_found, run_state::not_run, file + ": expected a readable file"};
        }
        const std::string text{std::istreambuf_iterator<char>(in), {}};
        const auto read = parse_spans(text);
        spans.insert(spans.end(), read.begin(), read.end());
    }
    return spans;
}

std::optional<std::string> find_trace(const std::vector<span_record>& spans, const std::string& id)
{
    const bool header = id.size() > trace_id_start + trace_id_digits && id[2] == '-';
    const auto wanted = header ? id.substr(trace_id_start, trace_id_digits) : id;
    for (const auto& span : spans) {
        if (span.trace_id == wanted) {
            return span.trace_id;
        }
    }
    for (const auto& span : spans) {
        for (const auto& [key, note] : span.attributes) {
            if (key == "request_id" && note == id) {
                return span.trace_id;
            }
        }
    }
    return std::nullopt;
}

std::vector<span_node> build_tree(const std::vector<span_record>& spans, const std::string& trace_id)
{
    children_index children;
    std::set<std::string> span_ids;
    std::vector<const span_record*> members;
    for (const auto& span : spans) {
        if (span.trace_id == trace_id) {
            members.push_back(&span);
            span_ids.insert(span.span_id);
            children.emplace(span.parent_id, &span);
        }
    }
    std::sort(members.begin(), members.end(),
              [](const span_record* left, const span_record* right) { return left->start < right->start; });
    std::set<std::string> visited;
    std::vector<span_node> roots;
    for (const auto* span : members) {
        if (!span_ids.contains(span->parent_id) && visited.insert(span->span_id).second) {
            roots.push_back(build_subtree(*span, children, visited, max_levels));
        }
    }
    for (const auto* span : members) {
        if (visited.insert(span->span_id).second) {
            roots.push_back(build_subtree(*span, children, visited, max_levels));
        }
    }
    return roots;
}

std::string tree_text(const std::string& trace_id, const std::vector<span_node>& hops)
{
    std::vector<std::vector<std::string>> rows{
        {"HOP", "PROGRAM", "VM", "START_MS", "DURATION_MS", "DECISIONS"}};
    for (const auto& root : hops) {
        add_rows(root, 0, hops.front().span.start, rows);
    }
    return "trace " + trace_id + "\n" + table(rows);
}

std::string tree_json(const std::string& trace_id, const std::vector<span_node>& hops)
{
    json roots = json::array();
    for (const auto& root : hops) {
        roots.push_back(to_json(root));
    }
    return json{{"trace_id", trace_id}, {"hops", roots}}.dump(json_indent, ' ', false,
                                                              json::error_handler_t::replace) +
           "\n";
}

} // namespace vanillagauge::ctl
