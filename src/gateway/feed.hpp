/// A copy of one kind of the store's objects, kept up to date by a watch or through gateways that watch.
#ifndef VANILLAGAUGE_GATEWAY_FEED_HPP
#define VANILLAGAUGE_GATEWAY_FEED_HPP

#include "gateway/object_store.hpp"
#include "net/async_condition.hpp"

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace vanillagauge::gateway {

/// What a gateway that watches tells one that does not.
struct feed_update {
    std::uint64_t as_of = 0;
    std::vector<stored_object> changed;
    std::vector<stored_object> removed;         ///< names and last revisions
    std::optional<std::set<std::string>> names; ///< of all objects; then `removed` is empty
};

/// Between gateways; an answer of another shape is `unavailable`.
nlohmann::json to_json(const feed_update& update);
result<feed_update> feed_update_from_json(const nlohmann::json& document);

class feed {
public:
    using handler = std::function<void(const object_change&)>;

    /// `on_change` runs for each change, also for those found by listing again.
    feed(std::string kind, handler on_change) : kind_(std::move(kind)), on_change_(std::move(on_change)) {}

    // Commands.
    /// The whole kind as the store had it at `as_of`, which was asked for at `asked`.
    void apply_listing(std::map<std::string, stored_object> listed, std::uint64_t as_of,
                       time_point requested_at);
    void apply_changes(object_changes changes, time_point requested_at);
    /// Takes an object that this gateway itself has just written, without waiting for the watch.
    void apply_own_write(stored_object object) { apply({std::move(object), false}); }
    /// What a gateway that watches told; it was current at `asked`.
    void apply_update(feed_update update, time_point requested_at);
    /// Holds nothing any more, as at the start; each object is told as removed.
    void reset();

    // Queries.
    const std::string& kind() const { return kind_; }
    const std::map<std::string, stored_object>& objects() const { return objects_; }
    /// The content was whole at least once.
    bool synced() const { return synced_; }
    /// The content is what the store held at this revision.
    std::uint64_t as_of() const { return as_of_; }
    /// When the content was last known to be current.
    time_point confirmed_at() const { return confirmed_at_; }
    /// Whether this copy holds changes behind the revision.
    bool changed_since(std::uint64_t since) const { return synced_ && changed_as_of_ > since; }
    /// What changed behind the revision, for a gateway that does not watch.
    feed_update update_since(std::uint64_t since) const;

private:
    /// That an object has gone, known here since the revision `as_of`.
    struct removal {
        stored_object object; ///< name and last revision
        std::uint64_t as_of = 0;
    };
    std::string kind_;
    handler on_change_;
    std::map<std::string, stored_object> objects_;
    std::uint64_t as_of_ = 0;
    std::uint64_t changed_as_of_ = 0;  ///< the revision with which the last change came
    std::deque<removal> removals_;     ///< by as_of
    std::uint64_t removals_since_ = 0; ///< every removal behind this revision is among them
    bool synced_ = false;
    time_point confirmed_at_{};

    void apply(object_change change);
    void remove_absent(const std::function<bool(const std::string&)>& present, std::uint64_t as_of);
    void record_removal(const stored_object& object, std::uint64_t as_of);
    void discard_removals(std::uint64_t as_of);
    void advance(std::uint64_t as_of, time_point requested_at);
};

} // namespace vanillagauge::gateway

#endif
