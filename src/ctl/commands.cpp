#include "ctl/commands.hpp"

#include "ctl/format.hpp"
#include "ctl/object_file.hpp"

namespace vanillagauge::ctl {
namespace {

/// The keeper's current version of the object; 0 if there is none.
result<std::uint64_t> current_version(const session& keeper, const std::string& kind, const std::string& name)
{
    v1::GetRequest request;
    request.set_kind(kind);
    request.set_name(name);
    const auto reply = call<v1::GetReply>(keeper, "Get", request);
    if (ok(reply)) {
        return std::uint64_t{value(reply).object().version()};
    }
    if (failure(reply).code == error_code::not_found) {
        return std::uint64_t{0};
    }
    return failure(reply);
}

/// The version that the write is conditional on. If the object changes between this read and the apply, the
/// apply fails with a conflict instead of overwriting the change.
result<std::uint64_t> base_version(const session& keeper, const declared_object& declared,
                                   const std::optional<std::uint64_t>& chosen)
{
    if (chosen) {
        return *chosen;
    }
    if (declared.versioned) {
        return std::uint64_t{declared.object.version()};
    }
    return current_version(keeper, declared.object.kind(), declared.object.name());
}

result<v1::Object> apply_one(const session& keeper, const declared_object& declared,
                             const std::optional<std::uint64_t>& version)
{
    const auto base = base_version(keeper, declared, version);
    if (!ok(base)) {
        return failure(base);
    }
    v1::ApplyRequest request;
    *request.mutable_object() = declared.object;
    request.mutable_object()->set_version(value(base));
    const auto reply = call<v1::ApplyReply>(keeper, "Apply", request);
    if (ok(reply)) {
        return value(reply).object();
    }
    auto refused = failure(reply);
    if (refused.code == error_code::conflict) {
        refused.detail += "\nyours:   " + compact(request.object());
        refused.detail += "current: " + (refused.current.empty() ? std::string("none") : refused.current);
    }
    return refused;
}

void print(const session& keeper, const v1::Object& object)
{
    if (keeper.format == output_format::json) {
        keeper.out << compact(object);
        return;
    }
    keeper.out << object.kind() << "/" << object.name() << " version " << object.version() << "\n";
}

std::string join(const google::protobuf::RepeatedPtrField<std::string>& words)
{
    std::string text;
    for (const auto& word : words) {
        text += (text.empty() ? "" : ", ") + word;
    }
    return text;
}

result<done> wait_until_propagated(const session& keeper, const v1::Object& object, milliseconds timeout)
{
    v1::SpreadRequest request;
    request.set_kind(object.kind());
    request.set_name(object.name());
    request.set_version(object.version());
    request.set_wait_ms(timeout.count());
    const auto reply = call<v1::SpreadReply>(keeper, "Spread", request, timeout + command_timeout);
    if (!ok(reply)) {
        return failure(reply);
    }
    const auto& seen = value(reply);
    const auto line = object.kind() + "/" + object.name() + " version " + std::to_string(object.version()) +
                      " is held by " + std::to_string(seen.holding()) + " of " +
                      std::to_string(seen.nodes()) + " live VMs";
    if (seen.holding() < seen.nodes()) {
        return error{error_code::deadline_exceeded, run_state::ran,
                     "accepted, but " + line + "; not by " + join(seen.missing())};
    }
    if (keeper.format == output_format::table) {
        keeper.out << line << "\n";
    }
    return done{};
}

} // namespace

result<done> apply(const session& keeper, const apply_options& options)
{
    const auto objects = read_objects(options.file);
    if (!ok(objects)) {
        return failure(objects);
    }
    std::vector<v1::Object> accepted;
    for (const auto& declared : value(objects)) {
        const auto applied = apply_one(keeper, declared, options.version);
        if (!ok(applied)) {
            return failure(applied);
        }
        print(keeper, value(applied));
        accepted.push_back(value(applied));
    }
    for (const auto& object : accepted) {
        if (!options.wait) {
            break;
        }
        auto held = wait_until_propagated(keeper, object, options.wait_time);
        if (!ok(held)) {
            return held;
        }
    }
    return done{};
}

result<done> remove(const session& keeper, const std::string& kind, const std::string& name)
{
    const auto held = current_version(keeper, kind, name);
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
    const auto reply = call<v1::DeleteReply>(keeper, "Delete", request);
    if (!ok(reply)) {
        return failure(reply);
    }
    if (keeper.format == output_format::json) {
        keeper.out << compact(value(reply));
    }
    else {
        keeper.out << kind << "/" << name << " deleted\n";
    }
    return done{};
}

result<done> drain(const session& keeper, const std::string& vm)
{
    v1::DrainRequest request;
    request.set_vm(vm);
    const auto reply = call<v1::DrainReply>(keeper, "Drain", request);
    if (!ok(reply)) {
        return failure(reply);
    }
    if (keeper.format == output_format::json) {
        keeper.out << compact(value(reply));
    }
    else {
        keeper.out << vm << " is draining; `vgctl delete drain " << vm << "` takes it back\n";
    }
    return done{};
}

} // namespace vanillagauge::ctl
