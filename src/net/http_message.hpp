/// HTTP message types and helpers for fields and request targets.
#ifndef VANILLAGAUGE_NET_HTTP_MESSAGE_HPP
#define VANILLAGAUGE_NET_HTTP_MESSAGE_HPP

#include <string>
#include <string_view>
#include <vector>

namespace vanillagauge::net {

struct http_field {
    std::string name;
    std::string value;
};

/// Fields in message order; names are compared case-insensitively.
class http_fields {
public:
    void add(std::string_view name, std::string_view value);
    /// Replaces all fields of this name.
    void set(std::string_view name, std::string_view value);
    void erase(std::string_view name);

    /// The first value; empty if the field is absent.
    std::string_view find(std::string_view name) const;
    bool contains(std::string_view name) const;
    const std::vector<http_field>& all() const { return fields_; }

private:
    std::vector<http_field> fields_;
};

bool names_equal(std::string_view left, std::string_view right);

/// Whether the field applies to a single connection, by its name or because `Connection` lists it.
bool is_hop_by_hop(std::string_view name, std::string_view connection_value);

struct http_request {
    std::string method = "GET";
    std::string target = "/";
    http_fields fields{};
    std::string body{};
};

/// The request without its body.
http_request head_of(const http_request& request);

struct http_response {
    int status = 200;
    http_fields fields{};
    std::string body{};
};

/// Whether the method, the target and the fields can be written as the head of one request: no byte of them
/// ends a line, and none is left out.
bool is_single_head(const http_request& request);
/// A token, as the name of a header field has to be.
bool is_token(std::string_view text);
/// A target that can stand in a request line: not empty, no space and no control character.
bool is_target(std::string_view text);
/// A header field's value: no control character but the tab.
bool is_field_value(std::string_view text);
/// Whether name and value can stand in one header field's line.
bool is_field(const http_field& field);
/// Percent-encodes all but unreserved characters, for a segment of a path or a value of a query.
std::string percent_encoded(std::string_view text);
/// The path of a request target, without its query.
std::string_view path_of(std::string_view target);
std::string percent_decoded(std::string_view text);
/// The percent-decoded value of a query parameter; empty if it is absent.
std::string query_value(std::string_view target, std::string_view name);

} // namespace vanillagauge::net

#endif
