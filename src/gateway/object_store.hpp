/// Interface to the fleet's shared object store.
#ifndef VANILLAGAUGE_GATEWAY_OBJECT_STORE_HPP
#define VANILLAGAUGE_GATEWAY_OBJECT_STORE_HPP

#include "net/task.hpp"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace vanillagauge::gateway {

struct stored_object {
    std::string name;
    std::uint64_t revision = 0; ///< of its last change; the store counts revisions across all objects
    nlohmann::json value;
    nlohmann::json status;
    /// JSON pointers (RFC 6901) into the store's copy of parts that could not be read and are null here; an
    /// empty one stands for an unknown part.
    std::vector<std::string> unread{};
};

struct object_listing {
    std::vector<stored_object> objects; ///< ordered by name
    bool more = false;                  ///< another page follows the last name
    std::uint64_t as_of = 0;            ///< store revision of the page
    std::size_t left_out = 0;           ///< objects whose names could not be read
};

struct object_change {
    stored_object object;
    bool removed = false;
};

struct object_changes {
    std::vector<object_change> events;
    std::uint64_t as_of = 0;  ///< revision at which to continue the watch
    std::uint64_t since = 0;  ///< revision that the changes follow
    std::size_t left_out = 0; ///< changes of which the object, or the kind of change, could not be read
};

/// JSON exchanged between gateways. Both readers throw json::exception if it is malformed;
/// `listed_object_from_json` only if the name is: other parts are noted as unread, and `revision` stands in
/// for that of the object.
nlohmann::json to_json(const stored_object& object);
stored_object object_from_json(const nlohmann::json& document);
stored_object listed_object_from_json(const nlohmann::json& document, std::uint64_t revision);

/// Errors of all calls: `unavailable` with `not_run` means that nothing was done, `unavailable` with
/// `in_doubt` that a write may have been or may still be applied; `stale_cursor` that the requested history
/// was discarded.
class object_store {
public:
    object_store() = default;
    virtual ~object_store() = default;
    object_store(const object_store&) = delete;
    object_store& operator=(const object_store&) = delete;

    /// `not_found` if there is none.
    virtual net::task_of<stored_object> read(std::string kind, std::string name) = 0;
    /// A page of objects with names after `after`.
    virtual net::task_of<object_listing> list(std::string kind, std::string after) = 0;
    /// Checks that the store responds, by the cheapest call; it may read stale data.
    virtual net::task_of<done> ping(std::string kind, milliseconds within) = 0;
    /// Waits at most `wait` for changes after the revision.
    virtual net::task_of<object_changes> watch(std::string kind, std::uint64_t since, milliseconds wait) = 0;
    /// `conflict` if the name exists; the error's `current` holds the stored value as JSON.
    virtual net::task_of<stored_object> create(std::string kind, std::string name, nlohmann::json value) = 0;
    /// `conflict` if the object's revision differs.
    virtual net::task_of<stored_object> replace(std::string kind, std::string name, nlohmann::json value,
                                                std::uint64_t revision) = 0;
    virtual net::task_of<stored_object> set_status(std::string kind, std::string name,
                                                   nlohmann::json status) = 0;
};

} // namespace vanillagauge::gateway

#endif
