#include "ctl/commands.hpp"

#include "ctl/format.hpp"
#include "ctl/object_file.hpp"

#include <nlohmann/json.hpp>

#include <thread>

namespace vanillagauge::ctl {
namespace {

constexpr milliseconds poll_pause{200};

/// The version the keeper holds, for a change that names none; 0 where there is no object.
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

/// The version that the change is conditional on. A change that lands between this read and the apply makes
/// the apply a conflict, so it is never overwritten unseen.
result<std::uint64_t> base_version(const session& to, const declared_object& declared,
                                   const std::optional<std::uint64_t>& chosen)
{
    if (chosen) {
        return *chosen;
    }
    if (declared.versioned) {
        return std::uint64_t{declared.object.version()};
    }
    return held_version(to, declared.object.kind(), declared.object.name());
}

result<v1::Object> apply_one(const session& to, const declared_object& declared,
                             const std::optional<std::uint64_t>& version)
{
    const auto base = base_version(to, declared, version);
    if (!ok(base)) {
        return failure(base);
    }
    v1::ApplyRequest request;
    *request.mutable_object() = declared.object;
    request.mutable_object()->set_version(value(base));
    const auto reply = ask<v1::ApplyReply>(to, "Apply", request);
    if (ok(reply)) {
        return value(reply).object();
    }
    auto refused = failure(reply);
    if (refused.code == error_code::conflict) {
        refused.detail += "\nyours:   " + compact(request.object());
        refused.detail += "current: " + (refused.current.empty() ? "none" : refused.current);
    }
    return refused;
}

void print(const session& to, const v1::Object& object)
{
    if (to.form == output::json) {
        to.out << compact(object);
        return;
    }
    to.out << object.kind() << "/" << object.name() << " version " << object.version() << "\n";
}

struct spread {
    int holding = 0;
    int alive = 0;
    std::string missing;
};

spread spread_of(const v1::StatusReply& status, std::uint64_t version)
{
    spread found;
    for (const auto& node : status.nodes()) {
        const bool holds = node.info().config_revision() >= version;
        found.holding += holds ? 1 : 0;
        found.alive += node.state() == "alive" ? 1 : 0;
        if (!holds) {
            found.missing += (found.missing.empty() ? "" : ", ") + node.info().vm() + " (" + node.state() +
                             ", at version " + std::to_string(node.info().config_revision()) + ")";
        }
    }
    return found;
}

bool all_alive_hold(const v1::StatusReply& status, std::uint64_t version)
{
    for (const auto& node : status.nodes()) {
        if (node.state() == "alive" && node.info().config_revision() < version) {
            return false;
        }
    }
    return true;
}

result<done> wait_until_held(const session& to, std::uint64_t version, milliseconds longest)
{
    const auto deadline = steady::now() + longest;
    while (true) {
        const auto status = ask<v1::StatusReply>(to, "Status", v1::StatusRequest{});
        if (!ok(status)) {
            return failure(status);
        }
        const bool held = all_alive_hold(value(status), version);
        const bool late = steady::now() >= deadline;
        if (!held && !late) {
            std::this_thread::sleep_for(poll_pause);
            continue;
        }
        const auto found = spread_of(value(status), version);
        const auto line = "version " + std::to_string(version) + " is held by " +
                          std::to_string(found.holding) + " of " +
                          std::to_string(value(status).nodes_size()) + " VMs" +
                          (found.missing.empty() ? "" : "; not by " + found.missing);
        if (!held) {
            return error{error_code::deadline_exceeded, run_state::ran, "accepted, but " + line};
        }
        if (to.form == output::table) {
            to.out << line << "\n";
        }
        return done{};
    }
}

} // namespace

result<done> apply(const session& to, const apply_options& options)
{
    const auto objects = read_objects(options.file);
    if (!ok(objects)) {
        return failure(objects);
    }
    std::uint64_t newest = 0;
    for (const auto& declared : value(objects)) {
        const auto applied = apply_one(to, declared, options.version);
        if (!ok(applied)) {
            return failure(applied);
        }
        print(to, value(applied));
        newest = std::max(newest, std::uint64_t{value(applied).version()});
    }
    return options.wait ? wait_until_held(to, newest, options.wait_time) : result<done>(done{});
}

result<done> remove(const session& to, const std::string& kind, const std::string& name)
{
    const auto held = held_version(to, kind, name);
    if (!ok(held)) {
        return failure(held);
    }
    if (value(held) == 0) {
        return error{error_code::not_found, run_state::not_run, "no object " + kind + "/" + name};
    }
    v1::DeleteRequest request;
    request.set_kind(kind);
    request.set_name(name);
    request.set_version(value(held));
    const auto reply = ask<v1::DeleteReply>(to, "Delete", request);
    if (!ok(reply)) {
        return failure(reply);
    }
    if (to.form == output::json) {
        to.out << compact(value(reply));
    }
    else {
        to.out << kind << "/" << name << " deleted\n";
    }
    return done{};
}

result<done> drain(const session& to, const std::string& vm)
{
    v1::DrainRequest request;
    request.set_vm(vm);
    const auto reply = ask<v1::DrainReply>(to, "Drain", request);
    if (!ok(reply)) {
        return failure(reply);
    }
    if (to.form == output::json) {
        to.out << compact(value(reply));
    }
    else {
        to.out << vm << " is draining; `vgctl delete drain " << vm << "` takes it back\n";
    }
    return done{};
}

} // namespace vanillagauge::ctl
