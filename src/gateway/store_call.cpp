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

error malformed_call()
{
    return {error_code::invalid_argument, run_state::not_run, "malformed store call"};
}

error malformed_answer()
{
    return {error_code::unavailable, run_state::in_doubt, "malformed answer to a store call"};
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

error error_from_json(const json& document)
{
    return {parse_error_code(document.at("code").get<std::string>()),
            parse_run_state(document.at("ran").get<std::string>()),
            document.at("detail").get<std::string>(),
            milliseconds{0},
            {},
            document.at("current").get<std::string>()};
}

json to_json(const object_listing& listing)
{
    json objects = json::array();
    for (const auto& object : listing.objects) {
        objects.push_back(to_json(object));
    }
    return {{"objects", std::move(objects)}, {"more", listing.more}, {"as_of", listing.as_of}};
}

object_listing listing_from_json(const json& document)
{
    object_listing listing;
    listing.more = document.at("more").get<bool>();
    listing.as_of = unsigned_at(document, "as_of");
    for (const auto& object : document.at("objects")) {
        listing.objects.push_back(listed_object_from_json(object, listing.as_of));
    }
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
    json document{{"op", std::string(name_of(call.operation))}, {"kind", call.kind}, {"name", call.name}};
    if (writes(call.operation)) {
        document["value"] = call.value;
    }
    if (call.operation == store_operation::replace) {
        document["revision"] = call.revision;
    }
    return document;
}

result<store_call> store_call_from_json(const json& document)
{
    return decode<store_call>(document, malformed_call(), [](const json& from) -> result<store_call> {
        const auto operation = from.at("op").get<std::string>();
        const auto known = std::find_if(operation_names.begin(), operation_names.end(),
                                        [&](const auto& entry) { return entry.second == operation; });
        if (known == operation_names.end()) {
            return malformed_call();
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
    json document;
    if (ok(outcome)) {
        document["done"] = std::visit([](const auto& answer) { return to_json(answer); }, value(outcome));
    }
    else {
        document["failed"] = to_json(failure(outcome));
    }
    return document;
}

result<store_answer> store_answer_from_json(store_operation operation, const json& document)
{
    return decode<store_answer>(document, malformed_answer(),
                                [operation](const json& from) -> result<store_answer> {
                                    if (const auto failed = from.find("failed"); failed != from.end()) {
                                        return error_from_json(*failed);
                                    }
                                    const auto& content = from.at("done");
                                    if (operation == store_operation::list) {
                                        return store_answer{listing_from_json(content)};
                                    }
                                    return store_answer{object_from_json(content)};
                                });
}

} // namespace vanillagauge::gateway
