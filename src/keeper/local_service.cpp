#include "keeper/services.hpp"

#include "node/convert.hpp"
#include "wire/controller.hpp"

namespace vanillagauge::keeper {
namespace {

constexpr milliseconds longest_follow{5000};

} // namespace

void local_service::Follow(google::protobuf::RpcController* /*control*/, const v1::FollowRequest* request,
                           v1::FollowReply* reply, google::protobuf::Closure* done)
{
    state_.hear(node::from_message(request->self()), steady::now());
    // A revision counts for one life of the keeper; another life's number would hide what has changed since.
    const bool same_life = request->keeper_incarnation() == state_.incarnation();
    const waiting follower{same_life ? request->since_revision() : 0,
                           same_life ? request->members_generation() : 0, reply, done};
    if (!same_life || state_.config_revision() > follower.since ||
        state_.members_generation() != follower.members_generation) {
        answer(follower);
        return;
    }
    std::uint64_t ticket = 0;
    {
        const std::lock_guard lock(mutex_);
        ticket = ++next_ticket_;
        waiting_[ticket] = follower;
    }
    const auto wait = std::min(milliseconds{request->wait_ms()}, longest_follow);
    loop_.after(wait, [this, ticket] { expire(ticket); });
}

void local_service::answer(const waiting& follower) const
{
    const auto revision = state_.config_revision();
    for (const auto& item : state_.config_since(follower.since)) {
        *follower.reply->add_entries() = node::to_message(item);
    }
    const auto seen = state_.view();
    follower.reply->set_members_generation(seen.generation);
    follower.reply->set_isolated(seen.isolated);
    // Hundreds of members twice a second would cost a program more than all its other control work.
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

void local_service::expire(std::uint64_t ticket)
{
    waiting follower;
    {
        const std::lock_guard lock(mutex_);
        const auto found = waiting_.find(ticket);
        if (found == waiting_.end()) {
            return;
        }
        follower = found->second;
        waiting_.erase(found);
    }
    answer(follower);
}

void local_service::wake()
{
    std::map<std::uint64_t, waiting> followers;
    {
        const std::lock_guard lock(mutex_);
        followers.swap(waiting_);
    }
    for (const auto& [ticket, follower] : followers) {
        answer(follower);
    }
}

void local_service::Store(google::protobuf::RpcController* control, const v1::StoreRequest* request,
                          v1::StoreReply* reply, google::protobuf::Closure* done)
{
    const objects::write change{request->kind(), request->name(), request->spec_json(),
                                request->expected_version()};
    store_.write_object(
        change,
        [control, reply, done, change](const objects::write_outcome& outcome) {
            const auto stored = objects::settled(outcome, change.expected_version);
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
