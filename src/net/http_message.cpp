#include "net/http_message.hpp"

#include <algorithm>
#include <array>
#include <charconv>

namespace vanillagauge::net {
namespace {

char lower(char letter)
{
    return letter >= 'A' && letter <= 'Z' ? static_cast<char>(letter - 'A' + 'a') : letter;
}

bool is_alphanumeric(char letter)
{
    const char small = lower(letter);
    return (small >= 'a' && small <= 'z') || (letter >= '0' && letter <= '9');
}

bool is_control(char letter)
{
    constexpr unsigned char first_printable = 0x20;
    constexpr unsigned char delete_character = 0x7f;
    const auto code = static_cast<unsigned char>(letter);
    return code < first_printable || code == delete_character;
}

/// In a query a plus stands for a space.
std::string decoded_query(std::string_view text)
{
    std::string spaced(text);
    std::replace(spaced.begin(), spaced.end(), '+', ' ');
    return percent_decoded(spaced);
}

std::string_view trimmed(std::string_view text)
{
    while (!text.empty() && text.front() == ' ') {
        text.remove_prefix(1);
    }
    while (!text.empty() && text.back() == ' ') {
        text.remove_suffix(1);
    }
    return text;
}

} // namespace

bool names_equal(std::string_view left, std::string_view right)
{
    return std::equal(left.begin(), left.end(), right.begin(), right.end(),
                      [](char a, char b) { return lower(a) == lower(b); });
}

void http_fields::add(std::string_view name, std::string_view value)
{
    fields_.push_back({std::string(name), std::string(value)});
}

void http_fields::set(std::string_view name, std::string_view value)
{
    erase(name);
    add(name, value);
}

void http_fields::erase(std::string_view name)
{
    std::erase_if(fields_, [name](const http_field& field) { return names_equal(field.name, name); });
}

std::string_view http_fields::find(std::string_view name) const
{
    const auto found = std::find_if(fields_.begin(), fields_.end(), [name](const http_field& field) {
        return names_equal(field.name, name);
    });
    return found == fields_.end() ? std::string_view{} : std::string_view(found->value);
}

bool http_fields::contains(std::string_view name) const
{
    return std::any_of(fields_.begin(), fields_.end(),
                       [name](const http_field& field) { return names_equal(field.name, name); });
}

bool is_token(std::string_view text)
{
    constexpr std::string_view others = "!#$%&'*+-.^_`|~";
    return !text.empty() && std::all_of(text.begin(), text.end(), [others](char letter) {
        return is_alphanumeric(letter) || others.find(letter) != std::string_view::npos;
    });
}

bool is_target(std::string_view text)
{
    return !text.empty() && std::none_of(text.begin(), text.end(),
                                         [](char letter) { return letter == ' ' || is_control(letter); });
}

bool is_field_value(std::string_view text)
{
    return std::none_of(text.begin(), text.end(),
                        [](char letter) { return letter != '\t' && is_control(letter); });
}

bool is_field(const http_field& field)
{
    return is_token(field.name) && is_field_value(field.value);
}

http_request head_of(const http_request& request)
{
    return {request.method, request.target, request.fields, {}};
}

bool is_single_head(const http_request& request)
{
    const auto& fields = request.fields.all();
    return is_token(request.method) && is_target(request.target) &&
           std::all_of(fields.begin(), fields.end(), is_field);
}

std::string percent_encoded(std::string_view text)
{
    constexpr std::string_view unreserved = "-._~";
    constexpr std::string_view digits = "0123456789ABCDEF";
    std::string encoded;
    for (const char letter : text) {
        if (is_alphanumeric(letter) || unreserved.find(letter) != std::string_view::npos) {
            encoded += letter;
            continue;
        }
        const auto code = static_cast<unsigned char>(letter);
        encoded += {'%', digits[code / digits.size()], digits[code % digits.size()]};
    }
    return encoded;
}

std::string percent_decoded(std::string_view text)
{
    std::string plain;
    for (std::size_t at = 0; at < text.size(); ++at) {
        unsigned int value = 0;
        if (text[at] == '%' && at + 2 < text.size() &&
            std::from_chars(text.data() + at + 1, text.data() + at + 3, value, 16).ptr ==
                text.data() + at + 3) {
            plain += static_cast<char>(value);
            at += 2;
        }
        else {
            plain += text[at];
        }
    }
    return plain;
}

bool is_hop_by_hop(std::string_view name, std::string_view connection_value)
{
    constexpr std::array<std::string_view, 9> hop_by_hop{
        "Connection",     "Keep-Alive", "Proxy-Connection",   "Transfer-Encoding",
        "Content-Length", "Upgrade",    "Proxy-Authenticate", "TE",
        "Trailer"};
    if (std::any_of(hop_by_hop.begin(), hop_by_hop.end(),
                    [name](std::string_view hop) { return names_equal(hop, name); })) {
        return true;
    }
    while (!connection_value.empty()) {
        const auto comma = connection_value.find(',');
        if (names_equal(trimmed(connection_value.substr(0, comma)), name)) {
            return true;
        }
        connection_value =
            comma == std::string_view::npos ? std::string_view{} : connection_value.substr(comma + 1);
    }
    return false;
}

std::string_view path_of(std::string_view target)
{
    return target.substr(0, target.find('?'));
}

std::string query_value(std::string_view target, std::string_view name)
{
    const auto question = target.find('?');
    if (question == std::string_view::npos) {
        return {};
    }
    auto rest = target.substr(question + 1);
    while (!rest.empty()) {
        const auto end = rest.find('&');
        const auto pair = rest.substr(0, end);
        const auto equals = pair.find('=');
        if (decoded_query(pair.substr(0, equals)) == name) {
            return equals == std::string_view::npos ? std::string{} : decoded_query(pair.substr(equals + 1));
        }
        rest = end == std::string_view::npos ? std::string_view{} : rest.substr(end + 1);
    }
    return {};
}

} // namespace vanillagauge::net
