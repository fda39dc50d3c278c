#include "rollout/checkpoint_store.hpp"

#include "rollout/core/stored_records.hpp"
#include "wire/call.hpp"

#include "vanillagauge.pb.h"

namespace vanillagauge::rollout {
namespace {

constexpr const char* kind = "checkpoint";
constexpr milliseconds store_timeout{4000};

wire::call_options options_of(const node::keeper_link& keeper)
{
    wire::call_options options;
    options.timeout = store_timeout;
    options.token = keeper.token();
    return options;
}

} // namespace

void checkpoint_store::advance(const samples::checkpoint& record)
{
    {
        const std::lock_guard lock(mutex_);
        writer_.advance(record);
    }
    tick();
}

void checkpoint_store::tick()
{
    bool begin_read = false;
    std::optional<samples::checkpoint_write> change;
    {
        const std::lock_guard lock(mutex_);
        begin_read = writer_.begin_read(steady::now());
        change = writer_.begin_write(steady::now());
    }
    if (change) {
        write(*change);
    }
    if (begin_read) {
        load([self = shared_from_this()](const result<stored>& found) {
            const std::lock_guard lock(self->mutex_);
            if (ok(found)) {
                self->writer_.on_read(value(found).record, value(found).version);
            }
            else {
                self->writer_.on_failed(steady::now());
            }
        });
    }
}

void checkpoint_store::read(read_done on_done)
{
    load([on_done = std::move(on_done)](const result<stored>& found) {
        if (!ok(found)) {
            on_done(failure(found));
            return;
        }
        on_done(value(found).record);
    });
}

void checkpoint_store::load(std::function<void(result<stored>)> on_done)
{
    v1::LoadRequest request;
    request.set_kind(kind);
    request.set_name(job_);
    wire::call<v1::LoadReply>(context_.keeper.channel(), wire::method<v1::KeeperLocal>("Load"), request,
                              options_of(context_.keeper),
                              [on_done = std::move(on_done)](const result<v1::LoadReply>& reply) {
                                  if (!ok(reply)) {
                                      on_done(failure(reply));
                                      return;
                                  }
                                  const auto& entry = value(reply).entry();
                                  stored found{std::nullopt, entry.version()};
                                  if (entry.version() > 0 && !entry.deleted()) {
                                      found.record = checkpoint_from_text(entry.spec_json());
                                      if (!found.record) {
                                          on_done(error{error_code::internal, run_state::not_run,
                                                        "the stored checkpoint cannot be parsed"});
                                          return;
                                      }
                                  }
                                  on_done(found);
                              });
}

// After a conflict or an unknown outcome the writer reads the record again.
void checkpoint_store::write(const samples::checkpoint_write& change)
{
    v1::StoreRequest request;
    request.set_kind(kind);
    request.set_name(job_);
    request.set_spec_json(to_text(change.record));
    request.set_expected_version(change.expected_version);
    wire::call<v1::StoreReply>(context_.keeper.channel(), wire::method<v1::KeeperLocal>("Store"), request,
                               options_of(context_.keeper),
                               [self = shared_from_this()](const result<v1::StoreReply>& reply) {
                                   const std::lock_guard lock(self->mutex_);
                                   if (ok(reply)) {
                                       self->writer_.on_written(value(reply).version());
                                   }
                                   else {
                                       self->writer_.on_failed(steady::now());
                                   }
                               });
}

std::int64_t checkpoint_store::recorded_step() const
{
    const std::lock_guard lock(mutex_);
    return writer_.recorded_step();
}

} // namespace vanillagauge::rollout
