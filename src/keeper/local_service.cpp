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
    const waiting follower{same_life ? request->since_revision() : 0, reply, done};
    if (!same_life || state_.config_revision() > follower.since) {
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
    for (const auto& member : state_.members()) {
        *follower.reply->add_nodes() = node::to_message(member);
    }
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
    const platform::write change{request->kind(), request->name(), request->spec_json(),
                                 request->expected_version()};
    store_.write_object(change, [control, reply, done](const platform::write_outcome& outcome) {
        if (const auto* stored = std::get_if<platform::written>(&outcome)) {
            reply->set_version(stored->version);
        }
        else if (const auto* conflict = std::get_if<platform::write_conflict>(&outcome)) {
            wire::from(control).fail(
                {error_code::conflict, run_state::not_run,
                 "the object is at version " + std::to_string(conflict->current.version)});
        }
        else {
            wire::from(control).fail(std::get<error>(outcome));
        }
        done->Run();
    });
}

void local_service::Load(google::protobuf::RpcController* control, const v1::LoadRequest* request,
                         v1::LoadReply* reply, google::protobuf::Closure* done)
{
    store_.read(request->kind(), request->name(),
                [control, reply, done](const result<std::optional<platform::stored_object>>& found) {
                    if (!ok(found)) {
                        wire::from(control).fail(failure(found));
                    }
                    else if (value(found)) {
                        const auto& item = *value(found);
                        *reply->mutable_entry() = node::to_message(
                            config::object{item.kind, item.name, item.version, item.value, item.deleted});
                    }
                    done->Run();
                });
}

void peer_service::Exchange(google::protobuf::RpcController* /*control*/, const v1::ExchangeRequest* request,
                            v1::ExchangeReply* reply, google::protobuf::Closure* done)
{
    *reply = gossip_.answer(*request);
    done->Run();
}

} // namespace vanillagauge::keeper
