#include "claims/key.hpp"

#include <charconv>
#include <vector>

namespace vanillagauge::claims {
namespace {

constexpr char separator = '~';
constexpr std::size_t prefix_fields = 6;
constexpr std::size_t max_key_length = 400;

std::vector<std::string> split(const std::string& text)
{
    std::vector<std::string> fields;
    std::size_t start = 0;
    for (auto end = text.find(separator); end != std::string::npos; end = text.find(separator, start)) {
        fields.push_back(text.substr(start, end - start));
        start = end + 1;
    }
    fields.push_back(text.substr(start));
    return fields;
}

template <class Number>
bool parse_number(const std::string& text, Number& number)
{
    const char* last = text.data() + text.size();
    const auto [end, failure] = std::from_chars(text.data(), last, number);
    return failure == std::errc{} && end == last;
}

} // namespace

std::string format_pair(const claim_pair& pair)
{
    std::string text = pair.primary.vm + separator + std::to_string(pair.primary.number);
    text += separator + pair.backup.vm + separator + std::to_string(pair.backup.number);
    return text;
}

std::string format_prefix(const claim_pair& pair, std::int64_t expires_ms, std::uint64_t nonce)
{
    return format_pair(pair) + separator + std::to_string(expires_ms) + separator + hex(nonce);
}

result<call_key> parse_key(const std::string& text)
{
    const error malformed{error_code::invalid_argument, run_state::not_run,
                          "expected a key that starts with the key_prefix of a Locate answer"};
    const auto fields = split(text);
    if (text.size() > max_key_length || fields.size() < prefix_fields) {
        return malformed;
    }
    call_key key;
    key.pair.primary.vm = fields[0];
    key.pair.backup.vm = fields[2];
    const bool numbers = parse_number(fields[1], key.pair.primary.number) &&
                         parse_number(fields[3], key.pair.backup.number) &&
                         parse_number(fields[4], key.expires_ms);
    if (!numbers) {
        return malformed;
    }
    key.suffix = text.substr(format_pair(key.pair).size() + 1);
    return key;
}

} // namespace vanillagauge::claims
