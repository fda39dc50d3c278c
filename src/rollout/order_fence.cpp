#include "rollout/order_fence.hpp"

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
    settings.longest_order = longest_order;
    return settings;
}

wire::call_options options_of(const node::keeper_link& keeper)
{
    wire::call_options options;
    options.timeout = store_timeout;
    options.token = keeper.token();
    return options;
}

std::string holder_in(const std::string& text)
{
    const auto all = nlohmann::json::parse(text, nullptr, false);
    return all.is_object() ? all.value("holder", std::string{}) : std::string{};
}

} // namespace

order_fence::order_fence(const context& shared, const config::deployment_spec& deployment)
    : context_(shared), name_("deployment/" + deployment.name),
      self_(shared.settings.vm + "-" + hex(node::new_incarnation())), fence_(settings_of(deployment, self_))
{
}

void order_fence::tick(bool ours, time_point view_updated)
{
    policy::fence_action action{};
    std::uint64_t expected = 0;
    {
        const std::lock_guard lock(mutex_);
        const auto now = steady::now();
        fence_.on_view(ours, view_updated, now);
        action = fence_.next(now);
        expected = fence_.expected_version();
    }
    if (action == policy::fence_action::read) {
        read();
    }
    else if (action == policy::fence_action::write) {
        write(expected);
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
                self->fence_.on_failed(steady::now());
                return;
            }
            const auto& entry = value(reply).entry();
            self->fence_.on_read(holder_in(entry.spec_json()), entry.version(), steady::now());
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
        [self = shared_from_this(), asked = steady::now()](const result<v1::StoreReply>& reply) {
            const std::lock_guard lock(self->mutex_);
            if (ok(reply)) {
                self->fence_.on_written(value(reply).version(), asked);
            }
            else if (failure(reply).code == error_code::conflict) {
                self->fence_.on_conflict();
            }
            else {
                self->fence_.on_failed(steady::now());
            }
        });
}

void order_fence::on_number(std::uint64_t seen)
{
    const std::lock_guard lock(mutex_);
    fence_.on_number(seen);
}

std::optional<std::uint64_t> order_fence::may_order() const
{
    const std::lock_guard lock(mutex_);
    return fence_.may_order(steady::now());
}

} // namespace vanillagauge::rollout
