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

struct http_response {
    int status = 200;
    http_fields fields{};
    std::string body{};
};

/// The path of a request target, without its query.
std::string_view path_of(std::string_view target);
/// The percent-decoded value of a query parameter; empty if it is absent.
std::string query_value(std::string_view target, std::string_view name);

} // namespace vanillagauge::net

#endif
