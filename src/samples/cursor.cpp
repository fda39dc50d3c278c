#include "samples/cursor.hpp"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

#include <algorithm>
#include <array>
#include <charconv>

namespace vanillagauge::samples {
namespace {

constexpr char separator = '.';
constexpr std::size_t max_slots = 1U << 20U;
constexpr unsigned bits_per_digit = 4;

std::string keyed_hash(const std::string& text, const std::string& secret)
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> bytes{};
    unsigned size = 0;
    HMAC(EVP_sha256(), secret.data(), static_cast<int>(secret.size()),
         reinterpret_cast<const unsigned char*>(text.data()), text.size(), bytes.data(), &size);
    std::string digits;
    for (unsigned index = 0; index < 16 && index < size; ++index) {
        digits += hex(bytes.at(index)).substr(14);
    }
    return digits;
}

std::string bitmap(const std::vector<bool>& taken)
{
    constexpr std::string_view digits = "0123456789abcdef";
    std::string text;
    for (std::size_t index = 0; index < taken.size(); index += bits_per_digit) {
        unsigned digit = 0;
        for (std::size_t bit = 0; bit < bits_per_digit && index + bit < taken.size(); ++bit) {
            digit |= taken[index + bit] ? 1U << bit : 0U;
        }
        text += digits[digit];
    }
    return text;
}

bool parse_bitmap(const std::string& text, std::vector<bool>& taken)
{
    constexpr std::string_view digits = "0123456789abcdef";
    for (std::size_t index = 0; index < taken.size(); ++index) {
        const auto digit = digits.find(text[index / bits_per_digit]);
        if (digit == std::string_view::npos) {
            return false;
        }
        taken[index] = ((digit >> (index % bits_per_digit)) & 1U) != 0;
    }
    return true;
}

template <class Number>
bool parse_number(std::string_view text, Number& number)
{
    const auto [end, failure] = std::from_chars(text.data(), text.data() + text.size(), number);
    return failure == std::errc{} && end == text.data() + text.size();
}

} // namespace

// The format is HASH.STEP.SLOTS.BITMAP.JOB; the job comes last because its name may contain the separator.
std::string encode_cursor(const cursor& position, const std::string& secret)
{
    std::string body = std::to_string(position.step);
    body += separator + std::to_string(position.taken.size());
    body += separator + bitmap(position.taken);
    body += separator + position.job;
    return keyed_hash(body, secret) + separator + body;
}

result<cursor> decode_cursor(const std::string& text, const std::string& secret)
{
    const error forged{error_code::forged_cursor, run_state::not_run,
                       "expected a cursor from an earlier reply, found text whose hash does not match"};
    const auto body_start = text.find(separator);
    if (body_start == std::string::npos) {
        return forged;
    }
    const std::string body = text.substr(body_start + 1);
    const std::string expected = keyed_hash(body, secret);
    if (body_start != expected.size() || CRYPTO_memcmp(text.data(), expected.data(), expected.size()) != 0) {
        return forged;
    }
    const auto step_end = body.find(separator);
    const auto slots_end = body.find(separator, step_end + 1);
    const auto bitmap_end = body.find(separator, slots_end + 1);
    cursor position;
    std::size_t slots = 0;
    const bool numbers =
        parse_number(std::string_view(body).substr(0, step_end), position.step) &&
        parse_number(std::string_view(body).substr(step_end + 1, slots_end - step_end - 1), slots);
    if (!numbers || slots > max_slots) {
        return forged;
    }
    position.taken.resize(slots);
    const std::string bits = body.substr(slots_end + 1, bitmap_end - slots_end - 1);
    if (bits.size() * bits_per_digit < slots || !parse_bitmap(bits, position.taken)) {
        return forged;
    }
    position.job = body.substr(bitmap_end + 1);
    return position;
}

cursor empty_cursor(const std::string& job, std::int64_t step, std::size_t slots)
{
    return {job, step, std::vector<bool>(slots, false)};
}

bool complete(const cursor& position)
{
    return std::all_of(position.taken.begin(), position.taken.end(), [](bool taken) { return taken; });
}

} // namespace vanillagauge::samples
