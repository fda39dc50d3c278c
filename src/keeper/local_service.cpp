#include "keeper/services.hpp"

#include "node/convert.hpp"
#include "wire/controller.hpp"

namespace vanillagauge::keeper {
namespace {

constexpr milliseconds max_follow_time{5000};

} // namespace

void local_service::Follow(google::protobuf::RpcController* /*control*/, const v1::FollowRequest* request,
                           v1::FollowReply* reply, google::protobuf::Closure* done)
{
    state_.update_process(node::from_message(request->self()), steady::now());
    // Revisions are local to a keeper process; one from an earlier process would hide later changes.
    const bool same_incarnation = request->keeper_incarnation() == state_.incarnation();
    const pending_follow follower{same_incarnation ? request->since_revision() : 0,
                                  same_incarnation ? request->members_generation() : 0, reply, done};
    if (!same_incarnation || state_.config_revision() > follower.since ||
        state_.members_generation() != follower.members_generation) {
        answer(follower);
        return;
    }
    std::uint64_t id = 0;
    {
        const std::lock_guard lock(mutex_);
        id = ++next_id_;
        pending_[id] = follower;
    }
    const auto wait = std::min(milliseconds{request->wait_ms()}, max_follow_time);
    loop_.after(wait, [this, id] { expire(id); });
}

void local_service::answer(const pending_follow& follower) const
{
    const auto revision = state_.config_revision();
    for (const auto& item : state_.config_changes_since(follower.since)) {
        *follower.reply->add_entries() = node::to_message(item);
    }
    const auto seen = state_.view();
    follower.reply->set_members_generation(seen.generation);
    follower.reply->set_isolated(seen.isolated);
    // Hundreds of members twice per second would cost a program more than all its other control work.
    if (seen.generation == follower.members_generation) {
        follower.reply->set_members_unchanged(true);
    }
    else {
        for (const auto& member : seen.members) {
            *follower.reply->add_nodes() = node::to_message(member);
        }
    }
    const auto lease = lease_.held(steady::now());
    follower.reply->set_lease_fencing(lease.fencing_token);
    follower.reply->set_lease_left_ms(lease.remaining.count());
    follower.reply->set_revision(revision);
    follower.reply->set_keeper_incarnation(state_.incarnation());
    follower.reply->set_draining(state_.draining());
    follower.done->Run();
}

void local_service::expire(std::uint64_t id)
{
    pending_follow follower;
    {
        const std::lock_guard lock(mutex_);
        const auto found = pending_.find(id);
        if (found == pending_.end()) {
            return;
        }
        follower = found->second;
        pending_.erase(found);
    }
    answer(follower);
}

void local_service::notify()
{
    std::map<std::uint64_t, pending_follow> followers;
    {
        const std::lock_guard lock(mutex_);
        followers.swap(pending_);
    }
    for (const auto& [id, follower] : followers) {
        answer(follower);
    }
}

void local_service::Store(google::protobuf::RpcController* control, const v1::StoreRequest* request,
                          v1::StoreReply* reply, google::protobuf::Closure* done)
{
    const objects::object_write change{request->kind(), request->name(), request->spec_json(),
                                       request->expected_version()};
    store_.write_object(
        change,
        [control, reply, done, change](const objects::write_outcome& outcome) {
            const auto stored = objects::to_result(outcome, change.expected_version);
            if (ok(stored)) {
                reply->set_version(value(stored).version);
            }
            else {
                wire::controller_of(control).fail(failure(stored));
            }
            done->Run();
        },
        objects::call_priority::status);
}

void local_service::Load(google::protobuf::RpcController* control, const v1::LoadRequest* request,
                         v1::LoadReply* reply, google::protobuf::Closure* done)
{
    store_.read(
        request->kind(), request->name(),
        [control, reply, done](const result<std::optional<objects::stored_object>>& found) {
            if (!ok(found)) {
                wire::controller_of(control).fail(failure(found));
            }
            else if (value(found)) {
                const auto& item = *value(found);
                *reply->mutable_entry() = node::to_message(
                    config::object{item.kind, item.name, item.version, item.value, item.deleted});
            }
            done->Run();
        },
        objects::call_priority::status);
}

void peer_service::Exchange(google::protobuf::RpcController* /*control*/, const v1::ExchangeRequest* request,
                            v1::ExchangeReply* reply, google::protobuf::Closure* done)
{
    *reply = gossip_.answer(*request);
    done->Run();
}

void peer_service::ConfigPull(google::protobuf::RpcController* /*control*/,
                              const v1::ConfigPullRequest* request, v1::ConfigPullReply* reply,
                              google::protobuf::Closure* done)
{
    *reply = gossip_.answer(*request);
    done->Run();
}

void peer_service::ConfigHeld(google::protobuf::RpcController* /*control*/,
                              const v1::ConfigHeldRequest* request, v1::ConfigHeldReply* reply,
                              google::protobuf::Closure* done)
{
    reply->set_version(state_.config_version_of(request->kind(), request->name()));
    done->Run();
}

} // namespace vanillagauge::keeper
