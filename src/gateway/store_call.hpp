/// A call to the store as a value, so that another gateway can make it.
#ifndef VANILLAGAUGE_GATEWAY_STORE_CALL_HPP
#define VANILLAGAUGE_GATEWAY_STORE_CALL_HPP

#include "gateway/object_store.hpp"

#include <string>
#include <variant>

namespace vanillagauge::gateway {

/// A watch is none of them: it would wait at the gateway that makes the call.
enum class store_operation { read, list, create, replace, set_status };

struct store_call {
    store_operation operation = store_operation::read;
    std::string kind;
    std::string name;               ///< of a listing: the name to go on after
    nlohmann::json value = nullptr; ///< what a write puts there
    std::uint64_t revision = 0;     ///< that a replacement expects
};

/// A listing where one was asked for, otherwise an object.
using store_answer = std::variant<stored_object, object_listing>;

/// Makes the call.
net::task_of<store_answer> run(object_store& store, store_call call);

/// Between gateways. Each reader's error tells what was expected: `invalid_argument` for a call,
/// `unavailable` and `in_doubt` for an answer, for then it is not known what the other gateway has done.
nlohmann::json to_json(const store_call& call);
result<store_call> store_call_from_json(const nlohmann::json& document);
nlohmann::json to_json(const result<store_answer>& outcome);
result<store_answer> store_answer_from_json(store_operation operation, const nlohmann::json& document);

} // namespace vanillagauge::gateway

#endif
