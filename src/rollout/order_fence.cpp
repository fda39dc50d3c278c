#include "rollout/order_fence.hpp"

#include "rollout/core/stored_records.hpp"
#include "wire/call.hpp"

#include "vanillagauge.pb.h"

#include <nlohmann/json.hpp>

namespace vanillagauge::rollout {
namespace {

constexpr const char* kind = "lease";
constexpr milliseconds store_timeout{2000};

policy::fence_settings settings_of(const config::deployment_spec& deployment, const std::string& self)
{
    policy::fence_settings settings;
    settings.self = self;
    settings.enforced = deployment.fencing == config::fencing_mode::enforced;
    settings.max_order_time = max_order_time;
    return settings;
}

wire::call_options options_of(const node::keeper_link& keeper)
{
    wire::call_options options;
    options.timeout = store_timeout;
    options.token = keeper.token();
    return options;
}

std::int64_t microseconds_of(time_point at)
{
    return std::chrono::duration_cast<std::chrono::microseconds>(at.time_since_epoch()).count();
}

} // namespace

order_fence::order_fence(const context& shared, const config::deployment_spec& deployment)
    : context_(shared), name_("deployment/" + deployment.name),
      self_(shared.settings.vm + "-" + hex(node::new_incarnation())),
      enforced_(deployment.fencing == config::fencing_mode::enforced), fence_(settings_of(deployment, self_))
{
}

void order_fence::tick(bool owned, time_point view_updated)
{
    policy::fence_action action{};
    std::uint64_t expected = 0;
    {
        const std::lock_guard lock(mutex_);
        const auto now = steady::now();
        fence_.on_view(owned, view_updated, now);
        action = fence_.next(now);
        const bool changed = owned != owned_;
        owned_ = owned;
        view_updated_ = view_updated;
        if (changed || action != policy::fence_action::none) {
            record("tick", now, {{"action", static_cast<int>(action)}});
        }
        expected = fence_.expected_version();
    }
    if (action == policy::fence_action::read) {
        read();
    }
    else if (action == policy::fence_action::write) {
        write(expected);
    }
}

void order_fence::fail()
{
    const auto now = steady::now();
    record("failed", now, nlohmann::json::object());
    fence_.on_failed(now);
}

void order_fence::record(const char* event, time_point now, nlohmann::json fields) const
{
    if (context_.records.enabled()) {
        fields["deployment"] = name_;
        fields["holder_self"] = self_;
        fields["enforced"] = enforced_;
        fields["ours"] = owned_;
        fields["updated_us"] = microseconds_of(view_updated_);
        context_.records.write("fence", event, now, std::move(fields));
    }
}

void order_fence::read()
{
    v1::LoadRequest request;
    request.set_kind(kind);
    request.set_name(name_);
    wire::call<v1::LoadReply>(
        context_.keeper.channel(), wire::method<v1::KeeperLocal>("Load"), request,
        options_of(context_.keeper), [self = shared_from_this()](const result<v1::LoadReply>& reply) {
            const std::lock_guard lock(self->mutex_);
            if (!ok(reply)) {
                self->fail();
                return;
            }
            const auto& entry = value(reply).entry();
            const auto now = steady::now();
            const auto holder = holder_in(entry.spec_json());
            self->record("read", now, {{"holder", holder}, {"version", entry.version()}});
            self->fence_.on_read(holder, entry.version(), now);
        });
}

void order_fence::write(std::uint64_t expected_version)
{
    v1::StoreRequest request;
    request.set_kind(kind);
    request.set_name(name_);
    request.set_spec_json(nlohmann::json{{"holder", self_}}.dump());
    request.set_expected_version(expected_version);
    wire::call<v1::StoreReply>(
        context_.keeper.channel(), wire::method<v1::KeeperLocal>("Store"), request,
        options_of(context_.keeper),
        [self = shared_from_this(), requested_at = steady::now()](const result<v1::StoreReply>& reply) {
            const std::lock_guard lock(self->mutex_);
            if (ok(reply)) {
                self->record(
                    "written", steady::now(),
                    {{"version", value(reply).version()}, {"asked_us", microseconds_of(requested_at)}});
                self->fence_.on_written(value(reply).version(), requested_at);
            }
            else if (failure(reply).code == error_code::conflict) {
                self->record("conflict", steady::now(), nlohmann::json::object());
                self->fence_.on_conflict();
            }
            else {
                self->fail();
            }
        });
}

void order_fence::on_fencing_token(std::uint64_t seen)
{
    const std::lock_guard lock(mutex_);
    record("number", steady::now(), {{"seen", seen}});
    fence_.on_fencing_token(seen);
}

std::optional<std::uint64_t> order_fence::fencing_token() const
{
    const std::lock_guard lock(mutex_);
    const auto now = steady::now();
    const auto number = fence_.fencing_token(now);
    record("may_order", now, {{"number", number ? nlohmann::json(*number) : nlohmann::json()}});
    return number;
}

} // namespace vanillagauge::rollout
