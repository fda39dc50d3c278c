#include "entry/entry_service.hpp"

#include "entry/claim_calls.hpp"
#include "entry/locate.hpp"
#include "entry/plain_call.hpp"
#include "entry/streamed_generate.hpp"
#include "wire/controller.hpp"

namespace vanillagauge::entry {
namespace {

constexpr milliseconds fallback_deadline{5000};

error no_deployment(const std::string& deployment)
{
    return {error_code::not_found, run_state::not_run, "no deployment \"" + deployment + "\""};
}

error wrong_kind(const std::string& deployment, config::target_kind expected)
{
    const std::string kind = expected == config::target_kind::engine ? "engine" : "service";
    return {error_code::invalid_argument, run_state::not_run,
            "expected a deployment of kind " + kind + ", found \"" + deployment + "\""};
}

milliseconds deadline_of(std::int64_t requested_ms, const node::target_group* group)
{
    if (requested_ms > 0) {
        return milliseconds{requested_ms};
    }
    return group != nullptr ? group->default_deadline() : fallback_deadline;
}

} // namespace

std::optional<error> refusal_for(const node::target_directory& directory, const std::string& deployment,
                                 config::target_kind expected)
{
    const auto group = directory.find(deployment);
    if (!group) {
        return no_deployment(deployment);
    }
    if (group->kind() != expected) {
        return wrong_kind(deployment, expected);
    }
    return {};
}

void entry_service::Locate(google::protobuf::RpcController* control, const v1::LocateRequest* request,
                           v1::LocateReply* reply, google::protobuf::Closure* done)
{
    const auto view = context_.keeper.current();
    const auto found = locate(*view, {request->failure_domain(), request->caller(), context_.settings.vm,
                                      steady::now(), wall_milliseconds()});
    if (!ok(found)) {
        wire::controller_of(control).fail(failure(found));
        done->Run();
        return;
    }
    for (const auto& address : value(found).addresses) {
        reply->add_addresses(address);
    }
    reply->set_keep_ms(advice_ttl(context_.settings.drain_time).count());
    reply->set_key_prefix(value(found).key_prefix);
    reply->set_key_expires_ms(key_ttl.count());
    done->Run();
}

void entry_service::Call(google::protobuf::RpcController* control, const v1::CallRequest* request,
                         v1::CallReply* reply, google::protobuf::Closure* done)
{
    auto& call = wire::controller_of(control);
    const auto start = steady::now();
    const auto finish = [this, &call, reply, done, start](result<v1::CallReply> outcome) {
        context_.metrics.record("vg_entry_call_seconds", steady::now() - start);
        context_.metrics.add(std::string("vg_entry_calls_total{code=\"") +
                             std::string(ok(outcome) ? "ok" : name(failure(outcome).code)) + "\"}");
        if (ok(outcome)) {
            *reply = value(std::move(outcome));
        }
        else {
            call.fail(failure(outcome));
        }
        done->Run();
    };
    const auto group = context_.directory.find(request->deployment());
    const auto deadline = start + deadline_of(request->deadline_ms(), group.get());
    // Only the key's pair may refuse such a call: this process may not know that it has run already.
    if (!request->idempotent()) {
        claims_.call(*request, deadline, call.call().trace, finish);
        return;
    }
    const auto refused = refusal_for(context_.directory, request->deployment(), config::target_kind::service);
    if (refused) {
        finish(*refused);
        return;
    }
    std::make_shared<plain_call>(context_, group, *request, deadline, call.call().trace, finish)->start();
}

void entry_service::Generate(google::protobuf::RpcController* control, const v1::GenerateRequest* request,
                             v1::GenerateChunk* /*unused*/, google::protobuf::Closure* done)
{
    auto& call = wire::controller_of(control);
    const auto refused = refusal_for(context_.directory, request->deployment(), config::target_kind::engine);
    const auto group = context_.directory.find(request->deployment());
    if (refused || !group) {
        call.fail(refused ? *refused : no_deployment(request->deployment()));
        done->Run();
        return;
    }
    auto sequence = std::make_shared<int>(0);
    const auto chunk = [&call, sequence](v1::GenerateChunk message) {
        message.set_sequence((*sequence)++);
        call.write(message);
        return !call.IsCanceled();
    };
    const auto finish = [&call, done](const result<vanillagauge::done>& outcome) {
        if (!ok(outcome)) {
            call.fail(failure(outcome));
        }
        done->Run();
    };
    const auto deadline = steady::now() + deadline_of(request->deadline_ms(), group.get());
    std::make_shared<streamed_generate>(context_, group, *request, deadline, call.call().trace, chunk, finish)
        ->start();
}

} // namespace vanillagauge::entry
