#include "objects/object_client.hpp"

#include "json/json.hpp"

#include "platform.pb.h"
#include "wire/call.hpp"

#include <nlohmann/json.hpp>

#include <random>

namespace vanillagauge::objects {
namespace {

namespace pb = ::platform::v1;

constexpr milliseconds call_timeout{2000};
constexpr milliseconds watch_slack{2000};
constexpr milliseconds read_back_delay{200};
constexpr int read_back_attempts = 5;

wire::call_options options(milliseconds timeout)
{
    wire::call_options chosen;
    chosen.timeout = timeout;
    return chosen;
}

stored_object from_pb(const pb::Object& item)
{
    return {item.kind(), item.name(), item.version(), item.value(), item.operation_id(), item.deleted()};
}

std::vector<stored_object> from_pb(const google::protobuf::RepeatedPtrField<pb::Object>& items)
{
    std::vector<stored_object> list;
    list.reserve(static_cast<std::size_t>(items.size()));
    for (const auto& item : items) {
        list.push_back(from_pb(item));
    }
    return list;
}

std::string new_operation_id()
{
    thread_local std::mt19937_64 random{std::random_device{}()};
    return hex(random()) + hex(random());
}

pb::WriteRequest to_pb(const object_write& change, const std::string& operation_id)
{
    pb::WriteRequest request;
    request.set_kind(change.kind);
    request.set_name(change.name);
    request.set_value(change.value);
    request.set_expected_version(change.expected_version);
    request.set_operation_id(operation_id);
    request.set_remove(change.remove);
    return request;
}

write_outcome outcome_of(const pb::WriteReply& reply)
{
    if (reply.applied()) {
        return written{reply.object().version()};
    }
    return write_conflict{from_pb(reply.object())};
}

std::string version_text(const stored_object& item)
{
    return item.version == 0 || item.deleted ? "none" : "version " + std::to_string(item.version);
}

/// The current object, shown to the operator whose change conflicts with it; empty if there is none.
std::string to_json(const stored_object& item)
{
    if (item.version == 0 || item.deleted) {
        return "";
    }
    const nlohmann::json spec = parse_json(item.value);
    const nlohmann::json object{{"kind", item.kind},
                                {"name", item.name},
                                {"version", std::to_string(item.version)},
                                {"spec", spec.is_discarded() ? nlohmann::json(item.value) : spec}};
    return object.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

error to_error(const write_conflict& conflict, std::uint64_t expected_version)
{
    const auto& current = conflict.current;
    const std::string expected =
        expected_version == 0 ? "none" : "version " + std::to_string(expected_version);
    error failure{error_code::conflict, run_state::not_run,
                  "expected " + expected + " of " + current.kind + "/" + current.name + ", found " +
                      version_text(current)};
    failure.current = to_json(current);
    return failure;
}

error to_error(const write_superseded& superseded)
{
    const auto& current = superseded.current;
    error failure{error_code::conflict, run_state::in_doubt,
                  "the reply to the write of " + current.kind + "/" + current.name + " was lost, and " +
                      version_text(current) +
                      " of another writer is current: it may have replaced this change"};
    failure.current = to_json(current);
    return failure;
}

} // namespace

result<written> to_result(const write_outcome& outcome, std::uint64_t expected_version)
{
    if (const auto* conflict = std::get_if<write_conflict>(&outcome)) {
        return to_error(*conflict, expected_version);
    }
    if (const auto* superseded = std::get_if<write_superseded>(&outcome)) {
        return to_error(*superseded);
    }
    if (const auto* failed = std::get_if<error>(&outcome)) {
        return *failed;
    }
    return std::get<written>(outcome);
}

object_client::object_client(wire::channel& channel, wire::event_loop& loop) : channel_(channel), loop_(loop)
{
}

std::optional<error> object_client::acquire_budget(call_priority priority,
                                                   std::uint64_t call_counts::*counter)
{
    const std::lock_guard lock(mutex_);
    if (budget_.try_acquire(priority, steady::now())) {
        ++(counts_.*counter);
        return std::nullopt;
    }
    ++counts_.over_budget;
    return error{error_code::overloaded, run_state::not_run,
                 "this VM has used up its share of the Object API's call rate",
                 budget_.retry_after(priority)};
}

void object_client::record_health(bool answered, time_point sent)
{
    const std::lock_guard lock(mutex_);
    if (answered) {
        health_.record_response(milliseconds_between(sent, steady::now()));
    }
    else {
        health_.record_failure();
    }
}

void object_client::set_fleet_size(std::size_t vms)
{
    const std::lock_guard lock(mutex_);
    budget_.set_fleet_size(vms);
}

call_counts object_client::counts() const
{
    const std::lock_guard lock(mutex_);
    return counts_;
}

store_state object_client::health() const
{
    const std::lock_guard lock(mutex_);
    return health_.state();
}

void object_client::read(const std::string& kind, const std::string& name,
                         std::function<void(result<std::optional<stored_object>>)> on_done,
                         call_priority priority)
{
    if (auto over_budget = acquire_budget(priority, &call_counts::reads)) {
        on_done(std::move(*over_budget));
        return;
    }
    const auto sent = steady::now();
    pb::ReadRequest request;
    request.set_kind(kind);
    request.set_name(name);
    wire::call<pb::ReadReply>(channel_, wire::method<pb::ObjectApi>("Read"), request, options(call_timeout),
                              [this, sent, on_done = std::move(on_done)](const result<pb::ReadReply>& reply) {
                                  record_health(ok(reply), sent);
                                  if (!ok(reply)) {
                                      on_done(failure(reply));
                                      return;
                                  }
                                  std::optional<stored_object> found;
                                  if (value(reply).found()) {
                                      found = from_pb(value(reply).object());
                                  }
                                  on_done(std::move(found));
                              });
}

void object_client::write_object(const object_write& change, std::function<void(write_outcome)> on_done,
                                 call_priority priority)
{
    if (auto over_budget = acquire_budget(priority, &call_counts::writes)) {
        on_done(std::move(*over_budget));
        return;
    }
    const auto sent = steady::now();
    const std::string operation_id = new_operation_id();
    wire::call<pb::WriteReply>(channel_, wire::method<pb::ObjectApi>("Write"), to_pb(change, operation_id),
                               options(call_timeout),
                               [this, sent, change, operation_id,
                                on_done = std::move(on_done)](const result<pb::WriteReply>& reply) mutable {
                                   record_health(ok(reply), sent);
                                   if (ok(reply)) {
                                       on_done(outcome_of(value(reply)));
                                       return;
                                   }
                                   if (failure(reply).ran == run_state::not_run) {
                                       on_done(failure(reply));
                                       return;
                                   }
                                   read_back(change, operation_id, read_back_attempts, std::move(on_done));
                               });
}

// A write can be applied although its reply is lost. A retry would then conflict with its own version, and an
// error would be wrong once the change took effect. The object holds the id of the operation that wrote it,
// so reading it back gives the outcome. At the expected version the write may still be in flight: the object
// is read several times before the outcome is reported as unknown. Another writer's version may be based on
// ours or may have replaced the one before it: neither "conflict, not run" nor "written" would be certain.
void object_client::read_back(const object_write& change, const std::string& operation_id, int attempts_left,
                              std::function<void(write_outcome)> on_done)
{
    read(
        change.kind, change.name,
        [this, change, operation_id, attempts_left,
         on_done = std::move(on_done)](const result<std::optional<stored_object>>& found) mutable {
            if (ok(found) && value(found)) {
                const auto& current = *value(found);
                if (current.operation_id == operation_id) {
                    on_done(written{current.version});
                    return;
                }
                if (current.version > change.expected_version &&
                    !(current.deleted && change.expected_version == 0)) {
                    on_done(write_superseded{current});
                    return;
                }
            }
            if (attempts_left == 0) {
                on_done(error{error_code::unavailable, run_state::in_doubt,
                              "could not read back from the store whether the write to " + change.kind + "/" +
                                  change.name + " took effect"});
                return;
            }
            loop_.after(read_back_delay,
                        [this, change, operation_id, attempts_left, on_done = std::move(on_done)]() mutable {
                            read_back(change, operation_id, attempts_left - 1, std::move(on_done));
                        });
        },
        call_priority::lease);
}

void object_client::list(const std::string& kind, std::function<void(result<listing>)> on_done,
                         call_priority priority)
{
    if (auto over_budget = acquire_budget(priority, &call_counts::lists)) {
        on_done(std::move(*over_budget));
        return;
    }
    const auto sent = steady::now();
    pb::ListRequest request;
    request.set_kind(kind);
    wire::call<pb::ListReply>(channel_, wire::method<pb::ObjectApi>("List"), request, options(call_timeout),
                              [this, sent, on_done = std::move(on_done)](const result<pb::ListReply>& reply) {
                                  record_health(ok(reply), sent);
                                  if (!ok(reply)) {
                                      on_done(failure(reply));
                                      return;
                                  }
                                  on_done(listing{from_pb(value(reply).objects()), value(reply).revision()});
                              });
}

void object_client::watch(const std::vector<std::string>& kinds, std::uint64_t since, milliseconds wait,
                          std::function<void(result<watch_events>)> on_done)
{
    if (auto over_budget = acquire_budget(call_priority::config, &call_counts::watches)) {
        on_done(std::move(*over_budget));
        return;
    }
    pb::WatchRequest request;
    for (const auto& kind : kinds) {
        request.add_kinds(kind);
    }
    request.set_since_revision(since);
    request.set_wait_ms(wait.count());
    wire::call<pb::WatchReply>(channel_, wire::method<pb::ObjectApi>("Watch"), request,
                               options(wait + watch_slack),
                               [on_done = std::move(on_done)](const result<pb::WatchReply>& reply) {
                                   if (!ok(reply)) {
                                       on_done(failure(reply));
                                       return;
                                   }
                                   on_done(watch_events{from_pb(value(reply).objects()),
                                                        value(reply).revision(), value(reply).compacted()});
                               });
}

} // namespace vanillagauge::objects
