#include "json/internal/text_repair.hpp"

#include "json/internal/memory_cost.hpp"
#include "json/parse.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace vanillagauge::internal {
namespace {

constexpr std::size_t max_pointers = 8;
constexpr std::size_t max_key_bytes = 64;
/// Bytes that a part may take as a document, whatever its text.
constexpr std::size_t min_part_memory = 4096;
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

/// Whether the token is a string of printable ASCII without escapes. A parser for each of a million empty
/// strings would take long.
bool is_plain_string(std::string_view token)
{
    constexpr char first_printable = 0x20;
    constexpr char last_printable = 0x7e;
    if (token.size() < 2 || token.front() != '"' || token.back() != '"') {
        return false;
    }
    const auto content = token.substr(1, token.size() - 2);
    return std::all_of(content.begin(), content.end(), [](char symbol) {
        return symbol >= first_printable && symbol <= last_printable && symbol != '\\' && symbol != '"';
    });
}

bool is_valid(std::string_view token)
{
    return is_plain_string(token) || nlohmann::json::accept(token);
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
        replace_value();
        return;
    }
    level opened;
    opened.is_object = is_object;
    opened.expects_key = is_object;
    opened.begin = at_;
    opened.result_size = result_.text.size();
    opened.replaced = result_.replaced;
    opened.memory = is_object ? object_cost : array_cost;
    levels_.push_back(std::move(opened));
    copy_symbol();
}

void text_repair::close_level()
{
    copy_symbol();
    if (levels_.empty()) {
        return;
    }
    const auto closed = std::move(levels_.back());
    levels_.pop_back();
    if (dense_ == dense_parts::replaced && is_dense(closed)) {
        replace_since(closed);
        return;
    }
    count(closed.memory);
}

bool text_repair::is_dense(const level& closed) const
{
    return closed.memory > std::max(min_part_memory, (at_ - closed.begin) * json_memory_per_byte);
}

/// Adds the value's bytes to the level around it.
void text_repair::count(std::size_t bytes)
{
    if (levels_.empty()) {
        return;
    }
    auto& around = levels_.back();
    around.memory += bytes;
    if (around.is_object) {
        around.memory += member_cost + characters_cost(around.key.size());
        return;
    }
    around.memory += element_cost + (around.index == 0 ? first_element_cost : 0);
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
    if (!is_valid(token)) {
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
    if (!is_valid(token)) {
        replace_value();
        return;
    }
    result_.text += token;
    count(token.front() == '"' ? string_cost + characters_cost(token.size()) : 0);
}

void text_repair::replace_value()
{
    replace("null");
    count(0);
}

void text_repair::replace(std::string_view replacement)
{
    result_.text += replacement;
    ++result_.replaced;
    if (result_.replaced_at.size() < max_pointers) {
        result_.replaced_at.push_back(pointer());
    }
}

/// Replaces an array or object that has just been closed, and with it what was replaced inside it.
void text_repair::replace_since(const level& closed)
{
    result_.text.resize(closed.result_size);
    result_.replaced = closed.replaced;
    result_.replaced_at.resize(std::min(result_.replaced_at.size(), closed.replaced));
    replace_value();
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
