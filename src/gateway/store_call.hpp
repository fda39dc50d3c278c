/// A store call as a value, which another gateway can make.
#ifndef VANILLAGAUGE_GATEWAY_STORE_CALL_HPP
#define VANILLAGAUGE_GATEWAY_STORE_CALL_HPP

#include "gateway/object_store.hpp"

#include <string>
#include <variant>

namespace vanillagauge::gateway {

/// Excludes watch, which would block at the relaying gateway.
enum class store_operation { read, list, create, replace, set_status };

struct store_call {
    store_operation operation = store_operation::read;
    std::string kind;
    std::string name;               ///< for a list, the name after which it starts
    nlohmann::json value = nullptr; ///< for writes
    std::uint64_t revision = 0;     ///< expected by a replace
};

/// A listing for a list, otherwise an object.
using store_answer = std::variant<stored_object, object_listing>;

net::task_of<store_answer> run(object_store& store, store_call call);

/// JSON exchanged between gateways. Malformed input is `invalid_argument` for a call; for an answer it is
/// `unavailable` and `in_doubt`, since the other gateway may have applied the call.
nlohmann::json to_json(const store_call& call);
result<store_call> store_call_from_json(const nlohmann::json& document);
nlohmann::json to_json(const result<store_answer>& outcome);
result<store_answer> store_answer_from_json(store_operation operation, const nlohmann::json& document);

} // namespace vanillagauge::gateway

#endif
