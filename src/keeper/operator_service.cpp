#include "keeper/config_feed.hpp"
#include "keeper/explain.hpp"
#include "keeper/operator_watch.hpp"
#include "keeper/services.hpp"

#include "node/convert.hpp"
#include "wire/codec.hpp"
#include "wire/controller.hpp"

#include <google/protobuf/util/json_util.h>

namespace vanillagauge::keeper {
namespace {

std::string to_json(const google::protobuf::Struct& spec)
{
    std::string text;
    const auto status = google::protobuf::util::MessageToJsonString(spec, &text);
    return status.ok() ? text : "{}";
}

error not_found(const std::string& kind, const std::string& name)
{
    return {error_code::not_found, run_state::not_run, "no object " + kind + "/" + name};
}

v1::SpreadReply to_message(const config_spread& seen)
{
    v1::SpreadReply reply;
    reply.set_holding(static_cast<int>(seen.holding));
    reply.set_nodes(static_cast<int>(seen.holding + seen.missing.size()));
    for (const auto& vm : seen.missing) {
        reply.add_missing(vm);
    }
    return reply;
}

} // namespace

void operator_service::Apply(google::protobuf::RpcController* control, const v1::ApplyRequest* request,
                             v1::ApplyReply* reply, google::protobuf::Closure* done)
{
    const auto& wanted = request->object();
    const std::string spec = to_json(wanted.spec());
    const auto checked = config::check_object(wanted.kind(), wanted.name(), spec);
    if (!ok(checked)) {
        wire::controller_of(control).fail(failure(checked));
        done->Run();
        return;
    }
    const objects::object_write change{wanted.kind(), wanted.name(), spec, wanted.version()};
    const milliseconds wait{request->wait_ms()};
    store_.write_object(change, [this, control, reply, done, change,
                                 wait](const objects::write_outcome& outcome) {
        const auto stored = objects::to_result(outcome, change.expected_version);
        if (!ok(stored)) {
            wire::controller_of(control).fail(failure(stored));
            done->Run();
            return;
        }
        const config::object accepted{change.kind, change.name, value(stored).version, change.value, false};
        state_.merge_config({accepted}, config::object_source::store);
        *reply->mutable_object() = to_operator_object(accepted);
        if (wait.count() <= 0) {
            done->Run();
            return;
        }
        counter_.count({change.kind, change.name, accepted.version}, wait,
                       [reply, done](const config_spread& seen) {
                           *reply->mutable_spread() = to_message(seen);
                           done->Run();
                       });
    });
}

void operator_service::Spread(google::protobuf::RpcController* /*control*/, const v1::SpreadRequest* request,
                              v1::SpreadReply* reply, google::protobuf::Closure* done)
{
    const config::object_version wanted{request->kind(), request->name(), request->version()};
    counter_.count(wanted, milliseconds{request->wait_ms()}, [reply, done](const config_spread& seen) {
        *reply = to_message(seen);
        done->Run();
    });
}

void operator_service::Delete(google::protobuf::RpcController* control, const v1::DeleteRequest* request,
                              v1::DeleteReply* reply, google::protobuf::Closure* done)
{
    const objects::object_write change{request->kind(), request->name(), "{}", request->version(), true};
    if (!is_config_kind(request->kind())) {
        wire::controller_of(control).fail(not_found(request->kind(), request->name()));
        done->Run();
        return;
    }
    store_.write_object(change, [this, control, reply, done, change](const objects::write_outcome& outcome) {
        const auto stored = objects::to_result(outcome, change.expected_version);
        if (ok(stored)) {
            state_.merge_config({{change.kind, change.name, value(stored).version, change.value, true}},
                                config::object_source::store);
            reply->set_version(value(stored).version);
        }
        else {
            wire::controller_of(control).fail(failure(stored));
        }
        done->Run();
    });
}

void operator_service::Get(google::protobuf::RpcController* control, const v1::GetRequest* request,
                           v1::GetReply* reply, google::protobuf::Closure* done)
{
    const auto found = state_.config_find(request->kind(), request->name());
    if (found) {
        *reply->mutable_object() = to_operator_object(*found);
    }
    else {
        wire::controller_of(control).fail(not_found(request->kind(), request->name()));
    }
    done->Run();
}

void operator_service::List(google::protobuf::RpcController* /*control*/, const v1::ListRequest* request,
                            v1::ListReply* reply, google::protobuf::Closure* done)
{
    for (const auto& kind : config_kinds()) {
        if (!request->kind().empty() && request->kind() != kind) {
            continue;
        }
        for (const auto& item : state_.config_list(kind)) {
            *reply->add_objects() = to_operator_object(item);
        }
    }
    reply->set_revision(state_.config_revision());
    done->Run();
}

void operator_service::Watch(google::protobuf::RpcController* /*control*/, const v1::WatchRequest* request,
                             v1::WatchReply* reply, google::protobuf::Closure* done)
{
    watch_.wait(*request, reply, done);
}

void operator_service::Status(google::protobuf::RpcController* /*control*/,
                              const v1::StatusRequest* /*request*/, v1::StatusReply* reply,
                              google::protobuf::Closure* done)
{
    reply->set_vm(state_.self().vm);
    for (const auto& member : state_.members()) {
        *reply->add_nodes() = node::to_message(member);
    }
    reply->set_config_revision(state_.config_revision());
    reply->set_store(objects::name(store_.health()));
    done->Run();
}

void operator_service::Explain(google::protobuf::RpcController* control, const v1::ExplainRequest* request,
                               v1::ExplainReply* reply, google::protobuf::Closure* done)
{
    const auto lines = explain(state_, request->subject());
    if (!ok(lines)) {
        wire::controller_of(control).fail(failure(lines));
        done->Run();
        return;
    }
    for (const auto& line : value(lines)) {
        reply->add_lines(line);
    }
    done->Run();
}

void operator_service::Drain(google::protobuf::RpcController* control, const v1::DrainRequest* request,
                             v1::DrainReply* /*reply*/, google::protobuf::Closure* done)
{
    const auto held = state_.config_find("drain", request->vm());
    if (held) {
        done->Run();
        return;
    }
    const objects::object_write change{"drain", request->vm(), "{}", 0};
    store_.write_object(change, [this, control, done, change](const objects::write_outcome& outcome) {
        const auto stored = objects::to_result(outcome, change.expected_version);
        if (ok(stored)) {
            state_.merge_config({{change.kind, change.name, value(stored).version, change.value, false}},
                                config::object_source::store);
        }
        else {
            wire::controller_of(control).fail(failure(stored));
        }
        done->Run();
    });
}

} // namespace vanillagauge::keeper
