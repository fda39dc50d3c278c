#include "keeper/keeper_state.hpp"

namespace vanillagauge::keeper {
namespace {

/// A program asks its keeper again after half a second at the latest; four missed rounds mean that it is
/// gone.
constexpr milliseconds program_silence{2000};

} // namespace

keeper_state::keeper_state(fleet::node self, time_point now)
    : vm_(self.vm), incarnation_(self.incarnation), membership_(std::move(self), {}, now)
{
}

void keeper_state::changed() const
{
    if (handler_) {
        handler_();
    }
}

void keeper_state::set_addresses(const std::string& peer_address, const std::string& operator_address)
{
    const std::lock_guard lock(members_mutex_);
    peer_address_ = peer_address;
    operator_address_ = operator_address;
}

bool keeper_state::merge_config(const std::vector<config::object>& incoming)
{
    bool taken = false;
    {
        const std::lock_guard lock(config_mutex_);
        for (const auto& item : incoming) {
            taken = config_.merge(item) || taken;
        }
    }
    if (taken) {
        changed();
    }
    return taken;
}

void keeper_state::merge_nodes(const std::vector<fleet::node>& said, time_point now)
{
    const std::lock_guard lock(members_mutex_);
    for (const auto& node : said) {
        membership_.merge(node, now);
    }
}

void keeper_state::hear(const fleet::process& program, time_point now)
{
    bool news = false;
    {
        const std::lock_guard lock(members_mutex_);
        auto& entry = programs_[program.role];
        news = !(entry.info == program);
        entry = {program, now};
    }
    if (news) {
        beat(now);
    }
}

void keeper_state::beat(time_point now)
{
    const bool drains = draining();
    const auto revision = [this] {
        const std::lock_guard lock(config_mutex_);
        return config_.newest_version();
    }();
    bool news = false;
    {
        const std::lock_guard lock(members_mutex_);
        auto self = membership_.self();
        const auto before = self.processes;
        self.processes.clear();
        std::erase_if(programs_,
                      [now](const auto& entry) { return now - entry.second.last_heard > program_silence; });
        for (const auto& [role, entry] : programs_) {
            self.processes.push_back(entry.info);
        }
        news = before != self.processes || self.draining != drains;
        self.draining = drains;
        self.peer_address = peer_address_;
        self.operator_address = operator_address_;
        self.config_version = revision;
        membership_.beat(self, now);
        news = membership_.tick(now) || news;
    }
    if (news) {
        changed();
    }
}

std::vector<fleet::member> keeper_state::members() const
{
    const std::lock_guard lock(members_mutex_);
    return membership_.members();
}

std::vector<fleet::node> keeper_state::known_nodes() const
{
    const std::lock_guard lock(members_mutex_);
    return membership_.all_known();
}

fleet::node keeper_state::self() const
{
    const std::lock_guard lock(members_mutex_);
    return membership_.self();
}

std::vector<config::object> keeper_state::config_since(std::uint64_t revision) const
{
    const std::lock_guard lock(config_mutex_);
    return config_.since(revision);
}

std::vector<config::object> keeper_state::config_list(const std::string& kind) const
{
    const std::lock_guard lock(config_mutex_);
    return config_.list(kind);
}

std::optional<config::object> keeper_state::config_find(const std::string& kind,
                                                        const std::string& name) const
{
    const std::lock_guard lock(config_mutex_);
    return config_.find(kind, name);
}

std::uint64_t keeper_state::config_revision() const
{
    const std::lock_guard lock(config_mutex_);
    return config_.revision();
}

std::uint64_t keeper_state::config_digest() const
{
    const std::lock_guard lock(config_mutex_);
    return config_.digest();
}

bool keeper_state::draining() const
{
    return config_find("drain", vm_).has_value();
}

} // namespace vanillagauge::keeper
