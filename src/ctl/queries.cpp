#include "ctl/queries.hpp"

#include "ctl/format.hpp"
#include "ctl/request_story.hpp"
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

result<done> get(const session& to, const std::string& kind, const std::string& name)
{
    v1::GetRequest request;
    request.set_kind(kind);
    request.set_name(name);
    const auto reply = ask<v1::GetReply>(to, "Get", request);
    if (!ok(reply)) {
        return failure(reply);
    }
    to.out << pretty(value(reply).object());
    return done{};
}

result<done> list(const session& to, const std::string& kind)
{
    v1::ListRequest request;
    request.set_kind(kind);
    const auto reply = ask<v1::ListReply>(to, "List", request);
    if (!ok(reply)) {
        return failure(reply);
    }
    if (to.form == output::json) {
        to.out << pretty(value(reply));
        return done{};
    }
    std::vector<std::vector<std::string>> rows{{"KIND", "NAME", "VERSION"}};
    for (const auto& object : value(reply).objects()) {
        rows.push_back({object.kind(), object.name(), std::to_string(object.version())});
    }
    to.out << table(rows);
    return done{};
}

result<done> watch(const session& to, const std::string& kind, int count)
{
    const auto start = ask<v1::ListReply>(to, "List", v1::ListRequest{});
    if (!ok(start)) {
        return failure(start);
    }
    v1::WatchRequest request;
    request.set_kind(kind);
    request.set_since_revision(value(start).revision());
    request.set_wait_ms(watch_wait.count());
    int seen = 0;
    while (true) {
        const auto reply = ask<v1::WatchReply>(to, "Watch", request, watch_timeout);
        if (!ok(reply)) {
            return failure(reply);
        }
        for (const auto& object : value(reply).objects()) {
            if (to.form == output::json) {
                to.out << compact(object);
            }
            else {
                to.out << object.kind() << "/" << object.name() << " version " << object.version() << " "
                       << state_of(object) << "\n";
            }
            to.out << std::flush;
            if (++seen == count) {
                return done{};
            }
        }
        request.set_since_revision(value(reply).revision());
    }
}

result<done> status(const session& to)
{
    const auto reply = ask<v1::StatusReply>(to, "Status", v1::StatusRequest{});
    if (!ok(reply)) {
        return failure(reply);
    }
    if (to.form == output::json) {
        to.out << pretty(value(reply));
        return done{};
    }
    std::vector<std::vector<std::string>> rows{
        {"VM", "FAILURE_DOMAIN", "STATE", "DRAINING", "VERSION", "PROCESSES"}};
    for (const auto& node : value(reply).nodes()) {
        const auto& info = node.info();
        rows.push_back({info.vm(), info.failure_domain(), node.state(), info.draining() ? "yes" : "no",
                        std::to_string(info.config_revision()), processes_of(info)});
    }
    to.out << "seen from " << value(reply).vm() << ", store " << value(reply).store() << "\n" << table(rows);
    return done{};
}

result<done> explain(const session& to, const std::string& subject, const std::vector<std::string>& files)
{
    if (subject.find('/') == std::string::npos) {
        return trace(to.out, to.form, subject, files);
    }
    v1::ExplainRequest request;
    request.set_subject(subject);
    const auto reply = ask<v1::ExplainReply>(to, "Explain", request);
    if (!ok(reply)) {
        return failure(reply);
    }
    if (to.form == output::json) {
        to.out << pretty(value(reply));
        return done{};
    }
    for (const auto& line : value(reply).lines()) {
        to.out << line << "\n";
    }
    return done{};
}

result<done> explain_logs(std::ostream& out, output form, const std::string& id,
                          const std::vector<std::string>& files)
{
    const auto read = read_logs(files);
    if (!ok(read)) {
        return failure(read);
    }
    const auto story = find_story(value(read), id);
    if (story.lines.empty()) {
        return error{error_code::not_found, run_state::not_run,
                     "no line of \"" + id + "\" in these files: expected the id of a request, batch or item"};
    }
    out << (form == output::json ? json_story(id, story) : text_story(id, story));
    return done{};
}

result<done> trace(std::ostream& out, output form, const std::string& id,
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
    const auto hops = tree_of(value(read), *trace_id);
    out << (form == output::json ? json_tree(*trace_id, hops) : text_tree(*trace_id, hops));
    return done{};
}

} // namespace vanillagauge::ctl
