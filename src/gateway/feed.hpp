/// A local copy of all store objects of one kind, updated by a store watch or from other gateways.
#ifndef VANILLAGAUGE_GATEWAY_FEED_HPP
#define VANILLAGAUGE_GATEWAY_FEED_HPP

#include "gateway/object_store.hpp"
#include "net/async_condition.hpp"
#include "policy/expiry_grace.hpp"

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace vanillagauge::gateway {

/// Incremental update sent by a gateway that watches the store to one that does not.
struct feed_update {
    std::uint64_t as_of = 0;
    std::vector<stored_object> changed;
    std::vector<stored_object> removed;         ///< name and last revision only
    std::optional<std::set<std::string>> names; ///< of all objects; if set, `removed` is empty
    /// Revision that the update follows, set by the receiver from its own request; not sent.
    std::uint64_t since = 0;
};

/// JSON exchanged between gateways; malformed input is `unavailable`.
nlohmann::json to_json(const feed_update& update);
result<feed_update> feed_update_from_json(const nlohmann::json& document);

class feed {
public:
    using handler = std::function<void(const object_change&)>;

    /// `on_change` runs for each change, including those detected by a new listing.
    feed(std::string kind, handler on_change) : kind_(std::move(kind)), on_change_(std::move(on_change)) {}

    /// The clock of all times here: it counts a suspension of this VM toward the age of its copy.
    static time_point now() { return time_point{time_since_boot()}; }

    /// Applies a complete listing at revision `as_of`.
    void apply_listing(std::map<std::string, stored_object> listed, std::uint64_t as_of,
                       time_point requested_at);
    /// Drops changes that follow a content which `reset` has dropped.
    void apply_changes(object_changes changes, time_point requested_at);
    /// Applies an object just written by this gateway, before the watch reports it.
    void apply_own_write(stored_object object) { apply({std::move(object), false}); }
    /// Applies an update from a watching gateway; it was current at `requested_at`. Drops one that follows a
    /// content which `reset` has dropped.
    void apply_update(feed_update update, time_point requested_at);
    /// The store has just confirmed, to a call made at `requested_at`, that nothing has changed.
    void confirm(time_point requested_at);
    /// A call to the store failed, here or at a gateway that this one polls.
    void note_failure(time_point failed_at) { grace_.on_failure(failed_at); }
    /// Returns to the initial empty state; reports each object as removed.
    void reset();
    /// Counts objects and changes that are left out, since it is not known whose they are.
    void note_left_out(std::size_t count) { left_out_ += count; }

    const std::string& kind() const { return kind_; }
    const std::map<std::string, stored_object>& objects() const { return objects_; }
    /// Whether a complete copy has been received since construction or `reset`.
    bool synced() const { return synced_; }
    /// The store revision of the content.
    std::uint64_t as_of() const { return as_of_; }
    /// The last time at which the content was known to be current.
    time_point confirmed_at() const { return confirmed_at_; }
    /// Until when objects that vanish may have expired because the store was away; the epoch if it was not.
    time_point expiry_grace_ends_at() const { return grace_.ends_at(); }
    std::uint64_t left_out() const { return left_out_; }
    /// Whether there are changes after the revision `since`.
    bool changed_since(std::uint64_t since) const { return synced_ && changed_as_of_ > since; }
    /// The changes after the revision `since`.
    feed_update update_since(std::uint64_t since) const;

private:
    struct removal {
        stored_object object;    ///< name and last revision only
        std::uint64_t as_of = 0; ///< store revision at which the removal was seen
    };
    std::string kind_;
    handler on_change_;
    std::map<std::string, stored_object> objects_;
    std::uint64_t as_of_ = 0;
    std::uint64_t changed_as_of_ = 0;  ///< store revision of the last change
    std::deque<removal> removals_;     ///< ordered by as_of
    std::uint64_t removals_since_ = 0; ///< `removals_` is complete after this revision
    bool synced_ = false;
    time_point confirmed_at_{};
    std::uint64_t left_out_ = 0;
    policy::expiry_grace grace_;

    /// Whether the content has all changes up to this revision.
    bool reaches(std::uint64_t since) const { return as_of_ >= since; }
    void apply(object_change change);
    void remove_absent(const std::function<bool(const std::string&)>& present, std::uint64_t as_of);
    void record_removal(const stored_object& object, std::uint64_t as_of);
    void discard_removals(std::uint64_t as_of);
    void advance(std::uint64_t as_of);
};

} // namespace vanillagauge::gateway

#endif
