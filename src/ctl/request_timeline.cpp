#include "ctl/request_timeline.hpp"

#include "json/json.hpp"

#include <algorithm>
#include <array>
#include <fstream>
#include <iomanip>
#include <set>
#include <sstream>

namespace vanillagauge::ctl {

using nlohmann::json;

namespace {

/// How far before the request a state change is included. Gateways refresh their state about every second, so
/// older changes rarely matter.
constexpr milliseconds context_window{10000};
/// Keeps the output readable; the lines nearest to the request are kept.
constexpr std::size_t max_context_lines = 40;

/// State changes of a VM, included if the VM handled the request.
constexpr std::array vm_events{"ready",         "stop_requested",        "stopped",
                               "store_lost",    "store_reached_again",   "feeds_lost",
                               "feeds_source",  "feed_history_gone",     "configuration_in_force",
                               "reload_failed", "machine_was_suspended", "version_named"};
/// Changes of the lease for ordering weights: rare, so included from every VM for items of batches.
constexpr std::array lease_events{"lease_taken", "lease_lost", "lease_not_taken", "lease_not_renewed",
                                  "lease_given_up"};

template <std::size_t Count>
bool is_one_of(const std::array<const char*, Count>& events, const std::string& event)
{
    return std::find(events.begin(), events.end(), event) != events.end();
}

std::string text_of(const log_line& line, const char* field)
{
    const auto found = line.fields.find(field);
    return found != line.fields.end() && found->is_string() ? found->get<std::string>() : std::string{};
}

bool mentions(const log_line& line, const std::string& id)
{
    return text_of(line, "request") == id || text_of(line, "batch") == id;
}

struct subject {
    std::set<std::string> batches;
    std::set<std::string> vms;
    std::set<std::string> replicas;
    milliseconds first{milliseconds::max()};
    milliseconds last{milliseconds::min()};
};

subject find_subject(const std::vector<log_line>& lines, const std::string& id)
{
    subject found;
    for (const auto& line : lines) {
        if (!mentions(line, id)) {
            continue;
        }
        found.vms.insert(line.vm);
        found.first = std::min(found.first, line.time);
        found.last = std::max(found.last, line.time);
        if (const auto batch = text_of(line, "batch"); !batch.empty() && batch != id) {
            found.batches.insert(batch);
        }
        if (const auto replica = text_of(line, "replica"); !replica.empty()) {
            found.replicas.insert(replica);
        }
    }
    return found;
}

bool is_context(const log_line& line, const subject& about, bool of_batch)
{
    if (line.time < about.first - context_window || line.time > about.last) {
        return false;
    }
    if (about.replicas.contains(text_of(line, "replica")) && text_of(line, "request").empty()) {
        return about.vms.contains(line.vm) || line.event == "weights_ordered";
    }
    return (about.vms.contains(line.vm) && is_one_of(vm_events, line.event)) ||
           (of_batch && is_one_of(lease_events, line.event));
}

/// Adds the latest context lines, at most max_context_lines, and counts the omitted ones.
void add_context(request_timeline& timeline, std::vector<timeline_entry> context)
{
    if (context.size() > max_context_lines) {
        timeline.left_out = context.size() - max_context_lines;
        context.erase(context.begin(), context.end() - max_context_lines);
    }
    std::move(context.begin(), context.end(), std::back_inserter(timeline.lines));
}

bool earlier(const timeline_entry& left, const timeline_entry& right)
{
    return left.line.time < right.line.time;
}

const char* name(line_role role)
{
    switch (role) {
    case line_role::own:
        return "own";
    case line_role::batch:
        return "batch";
    case line_role::context:
        break;
    }
    return "context";
}

std::string fields_text(const log_line& line)
{
    std::string text;
    for (const auto& [field, content] : line.fields.items()) {
        text += " " + field + "=" + (content.is_string() ? content.get<std::string>() : content.dump());
    }
    return text;
}

/// Later times are none of a log; their differences still fit.
constexpr std::int64_t max_time_ms = 1'000'000'000'000'000;

bool is_text_or_absent(const json& fields, const char* member)
{
    return !fields.contains(member) || fields[member].is_string();
}

/// None if the text is not an event of a log.
std::optional<log_line> to_line(const std::string& text)
{
    auto fields = parse_json(text);
    const bool named = fields.is_object() && fields.contains("event") && fields["event"].is_string();
    if (!named || !is_text_or_absent(fields, "level") || !is_text_or_absent(fields, "vm")) {
        return std::nullopt;
    }
    const auto time = fields.contains("time_ms") ? checked_integer<std::int64_t>(fields["time_ms"]) : 0;
    if (!time || *time < 0 || *time > max_time_ms) {
        return std::nullopt;
    }
    log_line line;
    line.time = milliseconds{*time};
    line.level = fields.value("level", std::string{});
    line.vm = fields.value("vm", std::string{});
    line.event = fields["event"].get<std::string>();
    for (const auto* key : {"time_ms", "level", "program", "vm", "event"}) {
        fields.erase(key);
    }
    line.fields = std::move(fields);
    return line;
}

} // namespace

std::vector<log_line> parse_log(const std::string& text)
{
    std::vector<log_line> lines;
    std::istringstream from(text);
    for (std::string raw; std::getline(from, raw);) {
        const auto begin = raw.find('{');
        auto line = begin == std::string::npos ? std::nullopt : to_line(raw.substr(begin));
        if (line) {
            lines.push_back(std::move(*line));
        }
    }
    return lines;
}

result<std::vector<log_line>> read_logs(const std::vector<std::string>& files)
{
    std::vector<log_line> lines;
    for (const auto& file : files) {
        std::ifstream from(file);
        if (!from) {
            return error{error_code::invalid_argument, run_state::not_run,
                         "expected a file of log lines, found none to read: " + file};
        }
        const std::string text{std::istreambuf_iterator<char>(from), {}};
        auto read = parse_log(text);
        std::move(read.begin(), read.end(), std::back_inserter(lines));
    }
    return lines;
}

request_timeline build_timeline(const std::vector<log_line>& lines, const std::string& id)
{
    request_timeline timeline;
    const auto about = find_subject(lines, id);
    std::vector<timeline_entry> context;
    for (const auto& line : lines) {
        const bool of_batch = about.batches.contains(text_of(line, "batch")) ||
                              about.batches.contains(text_of(line, "request"));
        const bool of_another =
            !text_of(line, "request").empty() && !about.batches.contains(text_of(line, "request"));
        if (mentions(line, id)) {
            timeline.lines.push_back({line_role::own, line});
        }
        else if (of_batch && !of_another) {
            timeline.lines.push_back({line_role::batch, line});
        }
        else if (is_context(line, about, !about.batches.empty())) {
            context.push_back({line_role::context, line});
        }
    }
    std::stable_sort(context.begin(), context.end(), earlier);
    add_context(timeline, std::move(context));
    std::stable_sort(timeline.lines.begin(), timeline.lines.end(), earlier);
    return timeline;
}

std::string timeline_text(const std::string& id, const request_timeline& timeline)
{
    std::ostringstream out;
    const auto first = std::find_if(timeline.lines.begin(), timeline.lines.end(),
                                    [](const timeline_entry& line) { return line.role == line_role::own; });
    out << id << ", times from its first line\n";
    if (timeline.left_out > 0) {
        out << "  (" << timeline.left_out << " earlier lines of context left out)\n";
    }
    for (const auto& [role, line] : timeline.lines) {
        const auto since = std::chrono::duration<double>(line.time - first->line.time).count();
        out << (role == line_role::own ? "* " : "  ") << std::showpos << std::fixed << std::setprecision(3)
            << since << std::noshowpos << " s  " << line.vm << "  " << line.event << fields_text(line)
            << "\n";
    }
    return out.str();
}

std::string timeline_json(const std::string& id, const request_timeline& timeline)
{
    json lines = json::array();
    for (const auto& [role, line] : timeline.lines) {
        lines.push_back({{"role", name(role)},
                         {"time_ms", line.time.count()},
                         {"level", line.level},
                         {"vm", line.vm},
                         {"event", line.event},
                         {"fields", line.fields}});
    }
    return json{{"id", id}, {"left_out", timeline.left_out}, {"lines", std::move(lines)}}.dump(
               2, ' ', false, json::error_handler_t::replace) +
           "\n";
}

} // namespace vanillagauge::ctl
