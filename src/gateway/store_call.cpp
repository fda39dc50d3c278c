#include "gateway/store_call.hpp"

#include "gateway/untrusted_json.hpp"

#include <algorithm>
#include <array>
#include <utility>

namespace vanillagauge::gateway {

using nlohmann::json;

namespace {

constexpr std::array<std::pair<store_operation, std::string_view>, 5> operation_names{
    {{store_operation::read, "read"},
     {store_operation::list, "list"},
     {store_operation::create, "create"},
     {store_operation::replace, "replace"},
     {store_operation::set_status, "status"}}};

error not_a_call()
{
    return {error_code::invalid_argument, run_state::not_run, "expected a call to the store"};
}

error not_an_answer()
{
    return {error_code::unavailable, run_state::in_doubt, "expected a gateway's answer"};
}

std::string_view name_of(store_operation operation)
{
    return std::find_if(operation_names.begin(), operation_names.end(),
                        [operation](const auto& entry) { return entry.first == operation; })
        ->second;
}

bool writes(store_operation operation)
{
    return operation != store_operation::read && operation != store_operation::list;
}

json to_json(const error& failure)
{
    return {{"code", std::string(name(failure.code))},
            {"ran", std::string(name(failure.ran))},
            {"detail", failure.detail},
            {"current", failure.current}};
}

error error_from_json(const json& text)
{
    return {parse_error_code(text.at("code").get<std::string>()),
            parse_run_state(text.at("ran").get<std::string>()),
            text.at("detail").get<std::string>(),
            milliseconds{0},
            {},
            text.at("current").get<std::string>()};
}

json to_json(const object_listing& listing)
{
    json objects = json::array();
    for (const auto& object : listing.objects) {
        objects.push_back(to_json(object));
    }
    return {{"objects", std::move(objects)}, {"more", listing.more}, {"as_of", listing.as_of}};
}

object_listing listing_from_json(const json& text)
{
    object_listing listing;
    for (const auto& object : text.at("objects")) {
        listing.objects.push_back(object_from_json(object));
    }
    listing.more = text.at("more").get<bool>();
    listing.as_of = text.at("as_of").get<std::uint64_t>();
    return listing;
}

template <class Value>
result<store_answer> as_answer(const result<Value>& outcome)
{
    if (!ok(outcome)) {
        return failure(outcome);
    }
    return store_answer{value(outcome)};
}

net::task_of<stored_object> run_on_object(object_store& store, store_call call)
{
    switch (call.operation) {
    case store_operation::create:
        return store.create(std::move(call.kind), std::move(call.name), std::move(call.value));
    case store_operation::replace:
        return store.replace(std::move(call.kind), std::move(call.name), std::move(call.value),
                             call.revision);
    case store_operation::set_status:
        return store.set_status(std::move(call.kind), std::move(call.name), std::move(call.value));
    case store_operation::read:
    case store_operation::list:
        break;
    }
    return store.read(std::move(call.kind), std::move(call.name));
}

} // namespace

net::task_of<store_answer> run(object_store& store, store_call call)
{
    if (call.operation == store_operation::list) {
        const auto listed = co_await store.list(std::move(call.kind), std::move(call.name));
        co_return as_answer(listed);
    }
    const auto object = co_await run_on_object(store, std::move(call));
    co_return as_answer(object);
}

json to_json(const store_call& call)
{
    json text{{"op", std::string(name_of(call.operation))}, {"kind", call.kind}, {"name", call.name}};
    if (writes(call.operation)) {
        text["value"] = call.value;
    }
    if (call.operation == store_operation::replace) {
        text["revision"] = call.revision;
    }
    return text;
}

result<store_call> store_call_from_json(const json& text)
{
    return decoded<store_call>(text, not_a_call(), [](const json& from) -> result<store_call> {
        const auto operation = from.at("op").get<std::string>();
        const auto known = std::find_if(operation_names.begin(), operation_names.end(),
                                        [&](const auto& entry) { return entry.second == operation; });
        if (known == operation_names.end()) {
            return not_a_call();
        }
        store_call call;
        call.operation = known->first;
        call.kind = from.at("kind").get<std::string>();
        call.name = from.at("name").get<std::string>();
        if (writes(call.operation)) {
            call.value = from.at("value");
        }
        if (call.operation == store_operation::replace) {
            call.revision = from.at("revision").get<std::uint64_t>();
        }
        return call;
    });
}

json to_json(const result<store_answer>& outcome)
{
    json text;
    if (ok(outcome)) {
        text["done"] = std::visit([](const auto& answer) { return to_json(answer); }, value(outcome));
    }
    else {
        text["failed"] = to_json(failure(outcome));
    }
    return text;
}

result<store_answer> store_answer_from_json(store_operation asked, const json& text)
{
    return decoded<store_answer>(text, not_an_answer(), [asked](const json& from) -> result<store_answer> {
        if (const auto failed = from.find("failed"); failed != from.end()) {
            return error_from_json(*failed);
        }
        const auto& content = from.at("done");
        if (asked == store_operation::list) {
            return store_answer{listing_from_json(content)};
        }
        return store_answer{object_from_json(content)};
    });
}

} // namespace vanillagauge::gateway
