/// The Object API's client: conditional writes whose outcome is always known or said to be unknown.
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

/// The condition failed: somebody else's version stands.
struct write_conflict {
    stored_object current;
};

struct written {
    std::uint64_t version = 0;
};

/// The reply was lost and somebody else's later version stands: whether this write was in force in between
/// cannot be told any more. It is not now.
struct write_superseded {
    stored_object current;
};

using write_outcome = std::variant<written, write_conflict, write_superseded, error>;

/// The version written, or what the caller of the write is told in its place.
result<written> to_result(const write_outcome& outcome, std::uint64_t expected_version);

struct watch_events {
    std::vector<stored_object> objects;
    std::uint64_t revision = 0;
    bool compacted = false; ///< the asked revision is too old: list again
};

struct listing {
    std::vector<stored_object> objects;
    std::uint64_t revision = 0;
};

/// Calls since the start of the process.
struct call_counts {
    std::uint64_t reads = 0;
    std::uint64_t writes = 0;
    std::uint64_t lists = 0;
    std::uint64_t watches = 0;
    std::uint64_t over_budget = 0; ///< not made
};

class object_client {
public:
    /// Both must outlive the client and its calls.
    object_client(wire::channel& channel, wire::event_loop& loop);

    /// Each call has a priority in the VM's budget; one beyond it is refused at once, not run, with the time
    /// to come back.
    void read(const std::string& kind, const std::string& name,
              std::function<void(result<std::optional<stored_object>>)> on_done,
              call_priority priority = call_priority::config);
    /// An unknown outcome is resolved by reading back the operation id; `in_doubt` or `write_superseded`
    /// where that cannot tell.
    void write_object(const object_write& change, std::function<void(write_outcome)> on_done,
                      call_priority priority = call_priority::config);
    void list(const std::string& kind, std::function<void(result<listing>)> on_done,
              call_priority priority = call_priority::config);
    /// Waits on the platform's side until something changes or `wait` is over.
    void watch(const std::vector<std::string>& kinds, std::uint64_t since, milliseconds wait,
               std::function<void(result<watch_events>)> on_done);

    /// The fleet's size, which sets this VM's share of the calls.
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

    /// The refusal, where the call is beyond the budget; otherwise the call is counted.
    std::optional<error> acquire_budget(call_priority priority, std::uint64_t call_counts::*counter);
    void record_health(bool answered, time_point sent);

    void read_back(const object_write& change, const std::string& operation_id, int attempts_left,
                   std::function<void(write_outcome)> on_done);
};

} // namespace vanillagauge::objects

#endif
