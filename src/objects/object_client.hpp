/// Object API client: conditional writes whose outcome is either known or reported as unknown.
#ifndef VANILLAGAUGE_OBJECTS_OBJECT_CLIENT_HPP
#define VANILLAGAUGE_OBJECTS_OBJECT_CLIENT_HPP

#include "base/base.hpp"
#include "objects/call_budget.hpp"
#include "objects/store_health.hpp"
#include "wire/channel.hpp"
#include "wire/event_loop.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace vanillagauge::objects {

struct stored_object {
    std::string kind;
    std::string name;
    std::uint64_t version = 0;
    std::string value;
    std::string operation_id;
    bool deleted = false;
};

struct object_write {
    std::string kind;
    std::string name;
    std::string value;
    std::uint64_t expected_version = 0; ///< 0: the object must not exist
    bool remove = false;
};

/// The condition failed: the current version is another writer's.
struct write_conflict {
    stored_object current;
};

struct written {
    std::uint64_t version = 0;
};

/// The reply was lost and another writer's later version is current: whether this write was applied in
/// between is unknown. It is not in effect now.
struct write_superseded {
    stored_object current;
};

using write_outcome = std::variant<written, write_conflict, write_superseded, error>;

/// The version written, or the error for the caller: `conflict` where the condition failed or the write was
/// superseded.
result<written> to_result(const write_outcome& outcome, std::uint64_t expected_version);

struct watch_events {
    std::vector<stored_object> objects;
    std::uint64_t revision = 0;
    bool compacted = false; ///< the requested revision is too old: list again
};

struct listing {
    std::vector<stored_object> objects;
    std::uint64_t revision = 0;
};

/// Number of calls since the start of the process.
struct call_counts {
    std::uint64_t reads = 0;
    std::uint64_t writes = 0;
    std::uint64_t lists = 0;
    std::uint64_t watches = 0;
    std::uint64_t over_budget = 0; ///< rejected by the budget, not sent
};

class object_client {
public:
    /// Both must outlive the client and its calls.
    object_client(wire::channel& channel, wire::event_loop& loop);

    /// Each call has a priority in the VM's budget; one that exceeds it fails at once with `overloaded`, not
    /// run, and a retry-after time.
    void read(const std::string& kind, const std::string& name,
              std::function<void(result<std::optional<stored_object>>)> on_done,
              call_priority priority = call_priority::config);
    /// After a lost reply the object is read back and its operation id compared; `in_doubt` or
    /// `write_superseded` if that does not give the outcome.
    void write_object(const object_write& change, std::function<void(write_outcome)> on_done,
                      call_priority priority = call_priority::config);
    void list(const std::string& kind, std::function<void(result<listing>)> on_done,
              call_priority priority = call_priority::config);
    /// Long poll: the platform replies on a change or after `wait`.
    void watch(const std::vector<std::string>& kinds, std::uint64_t since, milliseconds wait,
               std::function<void(result<watch_events>)> on_done);

    /// The number of VMs, which sets this VM's share of the call rate.
    void set_fleet_size(std::size_t vms);
    call_counts counts() const;
    store_state health() const;

private:
    wire::channel& channel_;
    wire::event_loop& loop_;
    mutable std::mutex mutex_;
    call_budget budget_;
    store_health health_;
    call_counts counts_;

    /// Takes a token and counts the call; the error if the budget is exhausted.
    std::optional<error> acquire_budget(call_priority priority, std::uint64_t call_counts::*counter);
    void record_health(bool answered, time_point sent);

    void read_back(const object_write& change, const std::string& operation_id, int attempts_left,
                   std::function<void(write_outcome)> on_done);
};

} // namespace vanillagauge::objects

#endif
