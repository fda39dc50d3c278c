#include "json/internal/text_repair.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace vanillagauge::internal {
namespace {

constexpr std::size_t max_pointers = 8;
constexpr std::size_t max_key_bytes = 64;
constexpr std::string_view white_space = " \t\r\n";
constexpr std::string_view structural = "{}[],:\"";

bool is_white_space(char symbol)
{
    return white_space.find(symbol) != std::string_view::npos;
}

bool ends_scalar(char symbol)
{
    return is_white_space(symbol) || structural.find(symbol) != std::string_view::npos;
}

bool continues_character(char symbol)
{
    constexpr unsigned mask = 0xC0;
    constexpr unsigned continuation = 0x80;
    return (static_cast<unsigned char>(symbol) & mask) == continuation;
}

/// The first bytes of a member's name, up to the end of a character.
std::string_view start_of(std::string_view key)
{
    auto length = std::min(key.size(), max_key_bytes);
    while (length > 0 && length < key.size() && continues_character(key[length])) {
        --length;
    }
    return key.substr(0, length);
}

/// A member's name as a reference token of a JSON pointer.
std::string reference_token(std::string_view key)
{
    std::string escaped;
    for (const char symbol : start_of(key)) {
        switch (symbol) {
        case '~':
            escaped += "~0";
            break;
        case '/':
            escaped += "~1";
            break;
        default:
            escaped += symbol;
        }
    }
    return escaped;
}

} // namespace

repaired_text text_repair::run()
{
    while (at_ < text_.size()) {
        switch (text_[at_]) {
        case '{':
            open_level(true);
            break;
        case '[':
            open_level(false);
            break;
        case '}':
        case ']':
            close_level();
            break;
        case ',':
            next_element();
            break;
        case '"':
            copy_string();
            break;
        case ':':
            copy_symbol();
            break;
        default:
            copy_scalar();
        }
    }
    return std::move(result_);
}

void text_repair::copy_symbol()
{
    result_.text += text_[at_];
    ++at_;
}

void text_repair::open_level(bool is_object)
{
    if (levels_.size() >= max_depth_) {
        skip_nested();
        replace("null");
        return;
    }
    copy_symbol();
    levels_.push_back({is_object, is_object, {}, 0});
}

void text_repair::close_level()
{
    if (!levels_.empty()) {
        levels_.pop_back();
    }
    copy_symbol();
}

void text_repair::next_element()
{
    if (!levels_.empty()) {
        auto& current = levels_.back();
        current.expects_key = current.is_object;
        ++current.index;
    }
    copy_symbol();
}

void text_repair::copy_string()
{
    const auto token = take_string();
    if (levels_.empty() || !levels_.back().expects_key) {
        copy_value(token);
        return;
    }
    auto& current = levels_.back();
    current.expects_key = false;
    if (!nlohmann::json::accept(token)) {
        current.key.clear();
        replace("\"\"");
        return;
    }
    current.key = token.substr(1, token.size() - 2);
    result_.text += token;
}

void text_repair::copy_scalar()
{
    if (is_white_space(text_[at_])) {
        copy_symbol();
        return;
    }
    copy_value(take_scalar());
}

void text_repair::copy_value(std::string_view token)
{
    if (nlohmann::json::accept(token)) {
        result_.text += token;
        return;
    }
    replace("null");
}

void text_repair::replace(std::string_view replacement)
{
    result_.text += replacement;
    ++result_.replaced;
    if (result_.replaced_at.size() < max_pointers) {
        result_.replaced_at.push_back(pointer());
    }
}

std::string_view text_repair::take_string()
{
    const auto begin = at_;
    ++at_;
    while (at_ < text_.size() && text_[at_] != '"') {
        at_ += text_[at_] == '\\' ? 2 : 1;
    }
    at_ = std::min(at_ + 1, text_.size());
    return text_.substr(begin, at_ - begin);
}

std::string_view text_repair::take_scalar()
{
    const auto begin = at_;
    while (at_ < text_.size() && !ends_scalar(text_[at_])) {
        ++at_;
    }
    return text_.substr(begin, at_ - begin);
}

void text_repair::skip_nested()
{
    std::size_t depth = 0;
    while (at_ < text_.size()) {
        const char symbol = text_[at_];
        if (symbol == '"') {
            take_string();
            continue;
        }
        ++at_;
        depth += symbol == '{' || symbol == '[' ? 1 : 0;
        depth -= symbol == '}' || symbol == ']' ? 1 : 0;
        if (depth == 0) {
            return;
        }
    }
}

std::string text_repair::pointer() const
{
    std::string path;
    for (const auto& current : levels_) {
        path += '/';
        path += current.is_object ? reference_token(current.key) : std::to_string(current.index);
    }
    return path;
}

} // namespace vanillagauge::internal
