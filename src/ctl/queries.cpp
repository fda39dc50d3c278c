#include "ctl/queries.hpp"

#include "ctl/format.hpp"
#include "ctl/request_timeline.hpp"
#include "ctl/span_tree.hpp"

#include <thread>

namespace vanillagauge::ctl {
namespace {

constexpr milliseconds watch_wait{8000};
constexpr milliseconds watch_timeout{15000};

std::string processes_of(const v1::NodeInfo& node)
{
    std::string text;
    for (const auto& process : node.processes()) {
        text += (text.empty() ? "" : " ") + process.role() + "@" + process.http_address();
    }
    return text;
}

std::string state_of(const v1::Object& object)
{
    return object.deleted() ? "deleted" : "present";
}

} // namespace

result<done> get(const session& keeper, const std::string& kind, const std::string& name)
{
    v1::GetRequest request;
    request.set_kind(kind);
    request.set_name(name);
    const auto reply = call<v1::GetReply>(keeper, "Get", request);
    if (!ok(reply)) {
        return failure(reply);
    }
    keeper.out << pretty(value(reply).object());
    return done{};
}

result<done> list(const session& keeper, const std::string& kind)
{
    v1::ListRequest request;
    request.set_kind(kind);
    const auto reply = call<v1::ListReply>(keeper, "List", request);
    if (!ok(reply)) {
        return failure(reply);
    }
    if (keeper.format == output_format::json) {
        keeper.out << pretty(value(reply));
        return done{};
    }
    std::vector<std::vector<std::string>> rows{{"KIND", "NAME", "VERSION"}};
    for (const auto& object : value(reply).objects()) {
        rows.push_back({object.kind(), object.name(), std::to_string(object.version())});
    }
    keeper.out << table(rows);
    return done{};
}

result<done> watch(const session& keeper, const std::string& kind, int count)
{
    const auto start = call<v1::ListReply>(keeper, "List", v1::ListRequest{});
    if (!ok(start)) {
        return failure(start);
    }
    v1::WatchRequest request;
    request.set_kind(kind);
    request.set_since_revision(value(start).revision());
    request.set_wait_ms(watch_wait.count());
    int seen = 0;
    while (true) {
        const auto reply = call<v1::WatchReply>(keeper, "Watch", request, watch_timeout);
        if (!ok(reply)) {
            return failure(reply);
        }
        for (const auto& object : value(reply).objects()) {
            if (keeper.format == output_format::json) {
                keeper.out << compact(object);
            }
            else {
                keeper.out << object.kind() << "/" << object.name() << " version " << object.version() << " "
                           << state_of(object) << "\n";
            }
            keeper.out << std::flush;
            if (++seen == count) {
                return done{};
            }
        }
        request.set_since_revision(value(reply).revision());
    }
}

result<done> status(const session& keeper)
{
    const auto reply = call<v1::StatusReply>(keeper, "Status", v1::StatusRequest{});
    if (!ok(reply)) {
        return failure(reply);
    }
    if (keeper.format == output_format::json) {
        keeper.out << pretty(value(reply));
        return done{};
    }
    std::vector<std::vector<std::string>> rows{
        {"VM", "FAILURE_DOMAIN", "STATE", "DRAINING", "VERSION", "PROCESSES"}};
    for (const auto& node : value(reply).nodes()) {
        const auto& info = node.info();
        rows.push_back({info.vm(), info.failure_domain(), node.state(), info.draining() ? "yes" : "no",
                        std::to_string(info.config_revision()), processes_of(info)});
    }
    keeper.out << "seen from " << value(reply).vm() << ", store " << value(reply).store() << "\n"
               << table(rows);
    return done{};
}

result<done> explain(const session& keeper, const std::string& subject, const std::vector<std::string>& files)
{
    if (subject.find('/') == std::string::npos) {
        return trace(keeper.out, keeper.format, subject, files);
    }
    v1::ExplainRequest request;
    request.set_subject(subject);
    const auto reply = call<v1::ExplainReply>(keeper, "Explain", request);
    if (!ok(reply)) {
        return failure(reply);
    }
    if (keeper.format == output_format::json) {
        keeper.out << pretty(value(reply));
        return done{};
    }
    for (const auto& line : value(reply).lines()) {
        keeper.out << line << "\n";
    }
    return done{};
}

result<done> explain_logs(std::ostream& out, output_format format, const std::string& id,
                          const std::vector<std::string>& files)
{
    const auto read = read_logs(files);
    if (!ok(read)) {
        return failure(read);
    }
    const auto timeline = build_timeline(value(read), id);
    if (timeline.lines.empty()) {
        return error{error_code::not_found, run_state::not_run,
                     "no line of \"" + id + "\" in these files: expected the id of a request, batch or item"};
    }
    out << (format == output_format::json ? timeline_json(id, timeline) : timeline_text(id, timeline));
    return done{};
}

result<done> trace(std::ostream& out, output_format format, const std::string& id,
                   const std::vector<std::string>& files)
{
    if (files.empty()) {
        return error{error_code::invalid_argument, run_state::not_run,
                     "expected the programs' span files (--spans FILE, see span_file in their settings)"};
    }
    const auto read = read_spans(files);
    if (!ok(read)) {
        return failure(read);
    }
    const auto trace_id = find_trace(value(read), id);
    if (!trace_id) {
        return error{error_code::not_found, run_state::not_run,
                     "no span of \"" + id + "\" in these files: expected a trace id or a request id"};
    }
    const auto hops = build_tree(value(read), *trace_id);
    out << (format == output_format::json ? tree_json(*trace_id, hops) : tree_text(*trace_id, hops));
    return done{};
}

} // namespace vanillagauge::ctl
