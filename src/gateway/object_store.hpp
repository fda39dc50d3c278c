/// The port to the store in which the fleet agrees on things and keeps them.
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
    std::uint64_t revision = 0; ///< of its last change; one counter serves all objects
    nlohmann::json value;
    nlohmann::json status;
};

struct object_listing {
    std::vector<stored_object> objects; ///< by name
    bool more = false;                  ///< go on after the last name
    std::uint64_t as_of = 0;            ///< the store's revision
};

struct object_change {
    stored_object object;
    bool removed = false;
};

struct object_changes {
    std::vector<object_change> events;
    std::uint64_t as_of = 0; ///< watch on from here
};

/// Between stored objects and the JSON in which gateways exchange them.
nlohmann::json to_json(const stored_object& object);
stored_object object_from_json(const nlohmann::json& document);

/// Errors of all calls: `unavailable` with `not_run` says that nothing was done, `unavailable` with
/// `in_doubt` that a write may have been done or may be done later; `stale_cursor` that the history asked for
/// is gone.
class object_store {
public:
    object_store() = default;
    virtual ~object_store() = default;
    object_store(const object_store&) = delete;
    object_store& operator=(const object_store&) = delete;

    /// `not_found` where there is none.
    virtual net::task_of<stored_object> read(std::string kind, std::string name) = 0;
    /// Objects whose names come after `after`.
    virtual net::task_of<object_listing> list(std::string kind, std::string after) = 0;
    /// Whether the store answers at all: the cheapest call there is, and what it reads may be old.
    virtual net::task_of<done> ping(std::string kind, milliseconds within) = 0;
    /// Waits at most `wait` for a change behind the revision.
    virtual net::task_of<object_changes> watch(std::string kind, std::uint64_t since, milliseconds wait) = 0;
    /// `conflict` where the name is taken; the error's `current` holds the value that stands there, as JSON.
    virtual net::task_of<stored_object> create(std::string kind, std::string name, nlohmann::json value) = 0;
    /// `conflict` where the object's revision is another.
    virtual net::task_of<stored_object> replace(std::string kind, std::string name, nlohmann::json value,
                                                std::uint64_t revision) = 0;
    virtual net::task_of<stored_object> set_status(std::string kind, std::string name,
                                                   nlohmann::json status) = 0;
};

} // namespace vanillagauge::gateway

#endif
