#include "net/response_head.hpp"

#include <algorithm>

namespace vanillagauge::net {
namespace {

constexpr int first_interim = 100;
constexpr int switching_protocols = 101; // is final, and was not asked for
constexpr int first_final = 200;
constexpr int last_final = 599;

bool is_final(int status)
{
    return status >= first_final && status <= last_final;
}

bool announces_body(const http_fields& fields)
{
    return fields.contains("Content-Length") || fields.contains("Transfer-Encoding");
}

/// Whether the body is sent as it is, or in chunks and nothing else (RFC 9112, section 6.1).
bool has_known_coding(const http_fields& fields)
{
    const auto& all = fields.all();
    return std::all_of(all.begin(), all.end(), [](const http_field& field) {
        return !names_equal(field.name, "Transfer-Encoding") || names_equal(field.value, "chunked");
    });
}

bool has_sound_names(const http_fields& fields)
{
    const auto& all = fields.all();
    return std::all_of(all.begin(), all.end(), [](const http_field& field) { return is_token(field.name); });
}

} // namespace

const char* name(head_defect defect)
{
    switch (defect) {
    case head_defect::status:
        return "a status that no response has";
    case head_defect::framed_interim:
        return "an interim response with a body";
    case head_defect::coding:
        return "a transfer coding other than chunked";
    case head_defect::field_name:
        break;
    }
    return "the name of a field is no token";
}

bool is_interim(const response_head& head)
{
    return head.status >= first_interim && head.status < first_final && head.status != switching_protocols;
}

// Where the peer and this reader differ on where a response ends, the bytes of its body are read as the next
// response.
std::optional<head_defect> defect_of(const response_head& head)
{
    if (!is_interim(head) && !is_final(head.status)) {
        return head_defect::status;
    }
    if (is_interim(head) && announces_body(head.fields)) {
        return head_defect::framed_interim;
    }
    if (!has_known_coding(head.fields)) {
        return head_defect::coding;
    }
    if (!has_sound_names(head.fields)) {
        return head_defect::field_name;
    }
    return std::nullopt;
}

} // namespace vanillagauge::net
