#include "gateway/callers/relay_messages.hpp"

#include "gateway/batch.hpp"
#include "gateway/untrusted_json.hpp"

#include <boost/beast/core/detail/base64.hpp>

#include <algorithm>

namespace vanillagauge::gateway {

using nlohmann::json;

namespace {

/// As long as the longest time limit of a route that makes sense for a plain request.
constexpr std::int64_t max_time_left_ms = 3600000;

/// More attempts than a route can have.
constexpr std::int64_t max_attempts = 1000;

std::string encode_base64(std::string_view plain)
{
    namespace base64 = boost::beast::detail::base64;
    std::string text(base64::encoded_size(plain.size()), '\0');
    text.resize(base64::encode(text.data(), plain.data(), plain.size()));
    return text;
}

// Values of header fields may hold any byte; JSON text is UTF-8.
json to_json(const net::http_fields& fields)
{
    json list = json::array();
    for (const auto& field : fields.all()) {
        list.push_back({field.name, encode_base64(field.value)});
    }
    return list;
}

result<net::http_fields> fields_from_json(const json& list)
{
    net::http_fields fields;
    for (const auto& entry : list) {
        const auto text = decode_base64(entry.at(1).get_ref<const std::string&>());
        if (!ok(text)) {
            return failure(text);
        }
        fields.add(entry.at(0).get_ref<const std::string&>(), value(text));
    }
    return fields;
}

result<relayed_request> request_from_json(const json& from)
{
    relayed_request request;
    from.at("route").get_to(request.route);
    from.at("service").get_to(request.service);
    from.at("host").get_to(request.host);
    from.at("attempt_id").get_to(request.attempt_id);
    from.at("organisation").get_to(request.organisation);
    from.at("method").get_to(request.http.method);
    from.at("target").get_to(request.http.target);
    const auto attempts = integer_or(from, "attempts", 0);
    const auto left = integer_or(from, "left_ms", -1);
    auto fields = fields_from_json(from.at("fields"));
    auto body = decode_base64(from.at("body").get_ref<const std::string&>());
    if (!ok(fields) || !ok(body)) {
        return malformed("invalid base64");
    }
    if (attempts < 1 || attempts > max_attempts || left < 0 || left > max_time_left_ms ||
        value(body).size() > max_relayed_body) {
        return malformed("attempts, time or body size out of range");
    }
    request.attempts = static_cast<int>(attempts);
    request.time_left = milliseconds{left};
    request.http.fields = std::move(value(fields));
    request.http.body = std::move(value(body));
    return request;
}

result<relayed_answer> answer_from_json(const json& from)
{
    relayed_answer answer{from.at("attempt_id").get<std::string>(), error{}};
    from.at("replica").get_to(answer.replica);
    from.at("tried").get_to(answer.tried);
    from.at("not_run").get_to(answer.not_run);
    const auto attempts = integer_or(from, "attempts", -1);
    if (attempts < 0 || attempts > max_attempts) {
        return malformed("attempts out of range");
    }
    answer.attempts = static_cast<int>(attempts);
    if (from.contains("error")) {
        const auto& reason = from.at("error");
        error failed;
        failed.code = parse_error_code(reason.at("code").get_ref<const std::string&>());
        failed.ran = parse_run_state(reason.at("ran").get_ref<const std::string&>());
        failed.retry_after = milliseconds{
            std::clamp(integer_or(reason, "retry_after_ms", 0), std::int64_t{0}, max_time_left_ms)};
        reason.at("detail").get_to(failed.detail);
        answer.response = std::move(failed);
        return answer;
    }
    auto fields = fields_from_json(from.at("fields"));
    auto body = decode_base64(from.at("body").get_ref<const std::string&>());
    const auto status = integer_or(from, "status", 0);
    if (!ok(fields) || !ok(body) || status < 200 || status > 599) {
        return malformed("a status out of range or invalid base64");
    }
    answer.response =
        net::http_response{static_cast<int>(status), std::move(value(fields)), std::move(value(body))};
    return answer;
}

} // namespace

result<relayed_request> relayed_request_from_text(std::string_view text)
{
    return decode<relayed_request>(parse_peer_json(text), malformed("cannot decode a relayed request"),
                                   request_from_json);
}

result<std::string> to_text(const relayed_request& request)
{
    const json document{{"route", request.route},
                        {"service", request.service},
                        {"host", request.host},
                        {"attempt_id", request.attempt_id},
                        {"organisation", request.organisation},
                        {"method", request.http.method},
                        {"target", request.http.target},
                        {"fields", to_json(request.http.fields)},
                        {"body", encode_base64(request.http.body)},
                        {"left_ms", request.time_left.count()},
                        {"attempts", request.attempts}};
    return encode(document);
}

result<relayed_answer> relayed_answer_from_text(std::string_view text)
{
    return decode<relayed_answer>(parse_peer_json(text), malformed("cannot decode a hub's answer"),
                                  answer_from_json);
}

std::string to_text(const relayed_answer& answer)
{
    json document{{"attempt_id", answer.attempt_id},
                  {"attempts", answer.attempts},
                  {"replica", answer.replica},
                  {"tried", answer.tried},
                  {"not_run", answer.not_run}};
    if (ok(answer.response)) {
        const auto& response = value(answer.response);
        document["status"] = response.status;
        document["fields"] = to_json(response.fields);
        document["body"] = encode_base64(response.body);
    }
    else {
        const auto& failed = failure(answer.response);
        document["error"] = {{"code", std::string(name(failed.code))},
                             {"ran", std::string(name(failed.ran))},
                             {"retry_after_ms", failed.retry_after.count()},
                             {"detail", failed.detail}};
    }
    // Details of errors may quote bytes of a peer.
    return document.dump(-1, ' ', false, json::error_handler_t::replace);
}

} // namespace vanillagauge::gateway
