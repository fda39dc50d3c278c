#include "ctl/commands.hpp"

#include "wire/call.hpp"

#include "vanillagauge.pb.h"

#include <nlohmann/json.hpp>

#include <fstream>
#include <iomanip>
#include <sstream>

namespace vanillagauge::ctl {
namespace {

using nlohmann::json;

constexpr milliseconds command_timeout{10000};

wire::call_options options(const session& to)
{
    wire::call_options chosen;
    chosen.timeout = command_timeout;
    chosen.token = to.token;
    return chosen;
}

template <class Response>
result<Response> ask(const session& to, const char* method, const google::protobuf::Message& request)
{
    return wire::call_and_wait<Response>(to.link, wire::method<v1::Operator>(method), request, options(to));
}

std::string pretty(const google::protobuf::Message& message)
{
    return json::parse(wire::encode(wire::codec::json, message)).dump(2) + "\n";
}

std::string row(std::initializer_list<std::string> cells)
{
    constexpr int width = 22;
    std::ostringstream text;
    for (const auto& cell : cells) {
        text << std::left << std::setw(width) << cell << ' ';
    }
    auto line = text.str();
    line.erase(line.find_last_not_of(' ') + 1);
    return line + "\n";
}

result<json> read_file(const std::string& file)
{
    std::ifstream in(file);
    if (!in) {
        return error{error_code::not_found, run_state::not_run, file + ": expected a readable file"};
    }
    const auto parsed = json::parse(in, nullptr, false);
    if (parsed.is_discarded()) {
        return error{error_code::invalid_argument, run_state::not_run, file + ": expected JSON"};
    }
    return parsed.is_array() ? parsed : json::array({parsed});
}

/// The version the store holds, for a file that names none; 0 where there is no object.
result<std::uint64_t> held_version(const session& to, const std::string& kind, const std::string& name)
{
    v1::GetRequest request;
    request.set_kind(kind);
    request.set_name(name);
    const auto reply = ask<v1::GetReply>(to, "Get", request);
    if (ok(reply)) {
        return std::uint64_t{value(reply).object().version()};
    }
    if (failure(reply).code == error_code::not_found) {
        return std::uint64_t{0};
    }
    return failure(reply);
}

printed apply_one(const session& to, const json& item)
{
    v1::ApplyRequest request;
    const auto decoded = wire::decode(wire::codec::json, item.dump(), *request.mutable_object());
    if (!ok(decoded)) {
        return failure(decoded);
    }
    auto& object = *request.mutable_object();
    if (!item.contains("version")) {
        const auto held = held_version(to, object.kind(), object.name());
        if (!ok(held)) {
            return failure(held);
        }
        object.set_version(value(held));
    }
    const auto reply = ask<v1::ApplyReply>(to, "Apply", request);
    if (!ok(reply)) {
        return failure(reply);
    }
    if (to.form == output::json) {
        return pretty(value(reply));
    }
    return object.kind() + "/" + object.name() + " version " +
           std::to_string(value(reply).object().version()) + "\n";
}

} // namespace

printed apply(const session& to, const std::string& file)
{
    const auto items = read_file(file);
    if (!ok(items)) {
        return failure(items);
    }
    std::string text;
    for (const auto& item : value(items)) {
        const auto applied = apply_one(to, item);
        if (!ok(applied)) {
            return failure(applied);
        }
        text += value(applied);
    }
    return text;
}

printed get(const session& to, const std::string& kind, const std::string& name)
{
    v1::GetRequest request;
    request.set_kind(kind);
    request.set_name(name);
    const auto reply = ask<v1::GetReply>(to, "Get", request);
    if (!ok(reply)) {
        return failure(reply);
    }
    return pretty(value(reply).object());
}

printed list(const session& to, const std::string& kind)
{
    v1::ListRequest request;
    request.set_kind(kind);
    const auto reply = ask<v1::ListReply>(to, "List", request);
    if (!ok(reply)) {
        return failure(reply);
    }
    if (to.form == output::json) {
        return pretty(value(reply));
    }
    std::string text = row({"KIND", "NAME", "VERSION"});
    for (const auto& object : value(reply).objects()) {
        text += row({object.kind(), object.name(), std::to_string(object.version())});
    }
    return text;
}

printed remove(const session& to, const std::string& kind, const std::string& name)
{
    const auto held = held_version(to, kind, name);
    if (!ok(held)) {
        return failure(held);
    }
    v1::DeleteRequest request;
    request.set_kind(kind);
    request.set_name(name);
    request.set_version(value(held));
    const auto reply = ask<v1::DeleteReply>(to, "Delete", request);
    if (!ok(reply)) {
        return failure(reply);
    }
    return kind + "/" + name + " deleted\n";
}

printed status(const session& to)
{
    const auto reply = ask<v1::StatusReply>(to, "Status", v1::StatusRequest{});
    if (!ok(reply)) {
        return failure(reply);
    }
    if (to.form == output::json) {
        return pretty(value(reply));
    }
    std::string text = "seen from " + value(reply).vm() + ", store " + value(reply).store() + "\n";
    text += row({"VM", "FAILURE_DOMAIN", "STATE", "DRAINING", "PROCESSES"});
    for (const auto& node : value(reply).nodes()) {
        std::string processes;
        for (const auto& process : node.info().processes()) {
            processes += (processes.empty() ? "" : ",") + process.role();
        }
        text += row({node.info().vm(), node.info().failure_domain(), node.state(),
                     node.info().draining() ? "yes" : "no", processes});
    }
    return text;
}

printed explain(const session& to, const std::string& subject)
{
    v1::ExplainRequest request;
    request.set_subject(subject);
    const auto reply = ask<v1::ExplainReply>(to, "Explain", request);
    if (!ok(reply)) {
        return failure(reply);
    }
    std::string text;
    for (const auto& line : value(reply).lines()) {
        text += line + "\n";
    }
    return text;
}

printed drain(const session& to, const std::string& vm)
{
    v1::DrainRequest request;
    request.set_vm(vm);
    const auto reply = ask<v1::DrainReply>(to, "Drain", request);
    if (!ok(reply)) {
        return failure(reply);
    }
    return vm + " is draining; delete drain/" + vm + " to take it back\n";
}

} // namespace vanillagauge::ctl
