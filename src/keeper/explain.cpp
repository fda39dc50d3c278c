#include "keeper/explain.hpp"

#include <algorithm>

namespace vanillagauge::keeper {
namespace {

using lines = std::vector<std::string>;

std::string describe_state(fleet::member_state state)
{
    switch (state) {
    case fleet::member_state::alive:
        return "alive";
    case fleet::member_state::suspect:
        return "suspect: its heartbeats are late, it receives no new work";
    default:
        break;
    }
    return "dead: its heartbeats have stopped";
}

const fleet::member* find_member(const std::vector<fleet::member>& members, const std::string& vm)
{
    const auto found = std::find_if(members.begin(), members.end(),
                                    [&vm](const fleet::member& member) { return member.info.vm == vm; });
    return found == members.end() ? nullptr : &*found;
}

void add_vm(const keeper_state& state, const std::string& vm, lines& into)
{
    const auto members = state.members();
    const auto* member = find_member(members, vm);
    if (member == nullptr) {
        into.push_back("vm " + vm + " is not a member known to this keeper");
        return;
    }
    into.push_back("vm " + vm + " in " + member->info.failure_domain + " is " +
                   describe_state(member->state));
    if (member->info.draining) {
        into.push_back("it is draining: it is excluded from address advice and owns no jobs");
    }
    for (const auto& process : member->info.processes) {
        into.push_back("runs " + process.role + " at " + process.http_address +
                       (process.draining ? ", stopping" : ""));
    }
}

void add_job(const keeper_state& state, const std::string& subject, lines& into)
{
    std::vector<std::string> eligible;
    for (const auto& member : state.members()) {
        if (member.state == fleet::member_state::alive && !member.info.draining) {
            eligible.push_back(member.info.vm);
        }
    }
    const auto owners = fleet::ranked_owners(subject, eligible);
    for (const auto& vm : owners) {
        into.push_back((vm == owners.front() ? "owner by rank: " : "successor: ") + vm);
    }
    if (owners.empty()) {
        into.push_back("no owner: no VM is alive and not draining");
    }
}

void add_deployment(const config::object& object, lines& into)
{
    const auto parsed = config::parse_deployment(object.name, object.spec_json);
    if (!ok(parsed)) {
        into.push_back("its spec cannot be parsed: " + failure(parsed).detail);
        return;
    }
    std::map<std::string, int> in_domain;
    int leaving = 0;
    for (const auto& target : value(parsed).targets) {
        ++in_domain[target.failure_domain];
        leaving += target.leaving ? 1 : 0;
    }
    into.push_back(std::to_string(value(parsed).targets.size()) +
                   " targets, of which leaving: " + std::to_string(leaving));
    for (const auto& [domain, count] : in_domain) {
        into.push_back("in " + domain + ": " + std::to_string(count));
    }
}

void add_spread(const keeper_state& state, const config::object& object, lines& into)
{
    int reached = 0;
    int alive = 0;
    for (const auto& member : state.members()) {
        const bool live = member.state == fleet::member_state::alive;
        alive += live ? 1 : 0;
        reached += live && member.info.config_version >= object.version ? 1 : 0;
    }
    into.push_back("live VMs whose configuration is at this version or later: " + std::to_string(reached) +
                   " of " + std::to_string(alive));
}

} // namespace

result<std::vector<std::string>> explain(const keeper_state& state, const std::string& subject)
{
    const auto slash = subject.find('/');
    const std::string kind = subject.substr(0, slash);
    const std::string object_name = slash == std::string::npos ? "" : subject.substr(slash + 1);
    lines found;
    if (kind == "vm") {
        add_vm(state, object_name, found);
        return found;
    }
    const auto object = state.config_find(kind, object_name);
    if (!object) {
        return error{error_code::not_found, run_state::not_run,
                     "no object \"" + subject + "\": expected deployment/NAME, job/NAME, drain/VM or vm/VM"};
    }
    found.push_back(subject + " is at version " + std::to_string(object->version));
    add_spread(state, *object, found);
    if (kind == "job") {
        add_job(state, subject, found);
    }
    else if (kind == "deployment") {
        add_deployment(*object, found);
    }
    else {
        add_vm(state, object_name, found);
    }
    return found;
}

} // namespace vanillagauge::keeper
