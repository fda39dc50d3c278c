#include "services.hpp"

namespace vanillagauge::standins {

namespace pb = ::platform::v1;

namespace {

error outage()
{
    return {error_code::unavailable, run_state::not_run, "the platform's store is down"};
}

} // namespace

void object_api::serve(google::protobuf::RpcController* control, google::protobuf::Closure* done,
                       std::function<void()> work)
{
    milliseconds delay{0};
    {
        const std::lock_guard lock(state_.mutex);
        delay = milliseconds{state_.mode.delay_ms()};
    }
    const auto run = [this, control, done, work = std::move(work)] {
        {
            const std::lock_guard lock(state_.mutex);
            if (state_.mode.down()) {
                state_.counts.set_refused(state_.counts.refused() + 1);
                wire::controller_of(control).fail(outage());
            }
            else {
                work();
            }
        }
        done->Run();
    };
    if (delay.count() > 0) {
        loop_.after(delay, run);
    }
    else {
        run();
    }
}

void object_api::Read(google::protobuf::RpcController* control, const pb::ReadRequest* request,
                      pb::ReadReply* reply, google::protobuf::Closure* done)
{
    serve(control, done, [this, request, reply] {
        state_.counts.set_reads(state_.counts.reads() + 1);
        *reply = state_.objects.read(request->kind(), request->name());
    });
}

void object_api::Write(google::protobuf::RpcController* control, const pb::WriteRequest* request,
                       pb::WriteReply* reply, google::protobuf::Closure* done)
{
    serve(control, done, [this, control, request, reply] {
        state_.counts.set_writes(state_.counts.writes() + 1);
        *reply = state_.objects.write(*request);
        if (state_.replies_to_lose > 0) {
            --state_.replies_to_lose;
            wire::controller_of(control).fail(
                {error_code::internal, run_state::in_doubt, "the reply was lost"});
        }
    });
    std::list<std::function<bool()>> watches;
    {
        const std::lock_guard lock(state_.mutex);
        watches.swap(state_.watches);
    }
    watches.remove_if([](const std::function<bool()>& answer) { return answer(); });
    const std::lock_guard lock(state_.mutex);
    state_.watches.splice(state_.watches.end(), watches);
}

void object_api::List(google::protobuf::RpcController* control, const pb::ListRequest* request,
                      pb::ListReply* reply, google::protobuf::Closure* done)
{
    serve(control, done, [this, request, reply] {
        state_.counts.set_lists(state_.counts.lists() + 1);
        *reply = state_.objects.list(request->kind());
    });
}

void object_api::Watch(google::protobuf::RpcController* control, const pb::WatchRequest* request,
                       pb::WatchReply* reply, google::protobuf::Closure* done)
{
    auto answered = std::make_shared<bool>(false);
    const auto answer = [this, control, request, reply, done, answered](bool expired) {
        {
            const std::lock_guard lock(state_.mutex);
            if (*answered) {
                return true;
            }
            if (state_.mode.down()) {
                wire::controller_of(control).fail(outage());
            }
            else if (state_.mode.break_watches()) {
                wire::controller_of(control).fail(
                    {error_code::unavailable, run_state::not_run, "the watch broke"});
            }
            else {
                auto changes = state_.objects.changes(*request);
                if (changes.objects_size() == 0 && !changes.compacted() && !expired) {
                    return false;
                }
                *reply = std::move(changes);
            }
            *answered = true;
        }
        done->Run();
        return true;
    };
    {
        const std::lock_guard lock(state_.mutex);
        state_.counts.set_watches(state_.counts.watches() + 1);
    }
    if (answer(false)) {
        return;
    }
    {
        const std::lock_guard lock(state_.mutex);
        state_.watches.emplace_back([answer] { return answer(false); });
    }
    loop_.after(milliseconds{request->wait_ms()}, [answer] { answer(true); });
}

void vm_list::Get(google::protobuf::RpcController* /*control*/, const pb::VmListRequest* /*request*/,
                  pb::VmListReply* reply, google::protobuf::Closure* done)
{
    {
        const std::lock_guard lock(state_.mutex);
        *reply->mutable_vms() = state_.mode.vms();
    }
    done->Run();
}

void weight_store::Fetch(google::protobuf::RpcController* /*control*/, const pb::FetchRequest* /*request*/,
                         pb::FetchReply* reply, google::protobuf::Closure* done)
{
    {
        const std::lock_guard lock(mutex_);
        const auto now = steady::now();
        const std::chrono::duration<double> passed = now - refilled_at_;
        refilled_at_ = now;
        tokens_ = std::min<double>(rate_, tokens_ + passed.count() * rate_);
        reply->set_granted(tokens_ >= 1);
        if (reply->granted()) {
            tokens_ -= 1;
        }
        else {
            reply->set_retry_after_ms(1000 / rate_ + 1);
        }
    }
    done->Run();
}

void platform_control::Mode(google::protobuf::RpcController* /*control*/, const pb::ModeRequest* request,
                            pb::ModeReply* /*reply*/, google::protobuf::Closure* done)
{
    std::list<std::function<bool()>> watches;
    {
        const std::lock_guard lock(state_.mutex);
        state_.mode = *request;
        state_.replies_to_lose = request->lose_replies();
        if (request->compact_below() > 0) {
            state_.objects.compact_below(request->compact_below());
        }
        watches.swap(state_.watches);
    }
    watches.remove_if([](const std::function<bool()>& answer) { return answer(); });
    {
        const std::lock_guard lock(state_.mutex);
        state_.watches.splice(state_.watches.end(), watches);
    }
    done->Run();
}

void platform_control::Counts(google::protobuf::RpcController* /*control*/,
                              const pb::CallCountsRequest* /*request*/, pb::CallCountsReply* reply,
                              google::protobuf::Closure* done)
{
    {
        const std::lock_guard lock(state_.mutex);
        *reply = state_.counts;
    }
    done->Run();
}

} // namespace vanillagauge::standins
