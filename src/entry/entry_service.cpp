#include "entry/entry_service.hpp"

#include "entry/locate.hpp"
#include "entry/plain_call.hpp"
#include "entry/streamed_generate.hpp"
#include "wire/controller.hpp"

namespace vanillagauge::entry {
namespace {

std::int64_t wall_milliseconds()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<milliseconds>(now).count();
}

error no_deployment(const std::string& deployment)
{
    return {error_code::not_found, run_state::not_run, "no deployment \"" + deployment + "\""};
}

error wrong_kind(const std::string& deployment, const char* expected)
{
    return {error_code::invalid_argument, run_state::not_run,
            "expected a deployment of kind " + std::string(expected) + ", found \"" + deployment + "\""};
}

milliseconds deadline_of(std::int64_t asked_ms, const node::target_group& group)
{
    return asked_ms > 0 ? milliseconds{asked_ms} : group.default_deadline();
}

} // namespace

void entry_service::Locate(google::protobuf::RpcController* control, const v1::LocateRequest* request,
                           v1::LocateReply* reply, google::protobuf::Closure* done)
{
    const auto view = context_.keeper.current();
    const auto found = locate(*view, {request->failure_domain(), request->caller(), context_.settings.vm,
                                      steady::now(), wall_milliseconds()});
    if (!ok(found)) {
        wire::from(control).fail(failure(found));
        done->Run();
        return;
    }
    for (const auto& address : value(found).addresses) {
        reply->add_addresses(address);
    }
    reply->set_keep_ms(advice_life.count());
    reply->set_key_prefix(value(found).key_prefix);
    reply->set_key_expires_ms(key_life.count());
    done->Run();
}

void entry_service::Call(google::protobuf::RpcController* control, const v1::CallRequest* request,
                         v1::CallReply* reply, google::protobuf::Closure* done)
{
    const auto group = context_.directory.find(request->deployment());
    auto& call = wire::from(control);
    if (!group) {
        call.fail(no_deployment(request->deployment()));
        done->Run();
        return;
    }
    if (group->kind() != config::target_kind::service) {
        call.fail(wrong_kind(request->deployment(), "service"));
        done->Run();
        return;
    }
    if (!request->idempotent()) {
        call.fail({error_code::unimplemented, run_state::not_run,
                   "calls that are not idempotent need claim pairs"});
        done->Run();
        return;
    }
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
    const auto deadline = start + deadline_of(request->deadline_ms(), *group);
    std::make_shared<plain_call>(context_, group, *request, deadline, call.call().trace, finish)->start();
}

void entry_service::Generate(google::protobuf::RpcController* control, const v1::GenerateRequest* request,
                             v1::GenerateChunk* /*unused*/, google::protobuf::Closure* done)
{
    const auto group = context_.directory.find(request->deployment());
    auto& call = wire::from(control);
    if (!group) {
        call.fail(no_deployment(request->deployment()));
        done->Run();
        return;
    }
    if (group->kind() != config::target_kind::engine) {
        call.fail(wrong_kind(request->deployment(), "engine"));
        done->Run();
        return;
    }
    auto sequence = std::make_shared<int>(0);
    const auto chunk = [&call, sequence](v1::GenerateChunk message) {
        message.set_sequence((*sequence)++);
        call.write(message);
    };
    const auto finish = [&call, done](const result<vanillagauge::done>& outcome) {
        if (!ok(outcome)) {
            call.fail(failure(outcome));
        }
        done->Run();
    };
    const auto deadline = steady::now() + deadline_of(request->deadline_ms(), *group);
    std::make_shared<streamed_generate>(context_, group, *request, deadline, call.call().trace, chunk, finish)
        ->start();
}

} // namespace vanillagauge::entry
