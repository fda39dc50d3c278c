/// Builds a document from the events of the JSON parser and ends at the first level that is too deep, or as
/// soon as the document takes too much memory.
#ifndef VANILLAGAUGE_JSON_INTERNAL_BOUNDED_BUILDER_HPP
#define VANILLAGAUGE_JSON_INTERNAL_BOUNDED_BUILDER_HPP

#include "json/parse.hpp"

#include <nlohmann/json.hpp>

#include <cstddef>
#include <string>
#include <vector>

namespace vanillagauge::internal {

/// Copying, comparing and writing a document recurse once a level, so its depth must be bounded before it is
/// built. An empty array or object takes some thirty times its text.
class bounded_builder final : public nlohmann::json_sax<nlohmann::json> {
public:
    /// Checks members that are not wanted, but does not build them; `wanted` must stay alive.
    bounded_builder(std::size_t max_depth, std::size_t max_memory, const std::vector<json_member>& wanted)
        : max_depth_(max_depth), max_memory_(max_memory), wanted_(wanted)
    {
    }

    /// The finished document.
    nlohmann::json take() { return std::move(root_); }
    /// Whether the document takes more memory than it may.
    bool is_too_large() const { return memory_ > max_memory_; }

    bool null() override;
    bool boolean(bool value) override;
    bool number_integer(number_integer_t value) override;
    bool number_unsigned(number_unsigned_t value) override;
    bool number_float(number_float_t value, const string_t& text) override;
    bool string(string_t& value) override;
    bool binary(binary_t& value) override;
    bool start_object(std::size_t elements) override;
    bool key(string_t& value) override;
    bool end_object() override;
    bool start_array(std::size_t elements) override;
    bool end_array() override;
    bool parse_error(std::size_t position, const std::string& last_token,
                     const nlohmann::detail::exception& why) override;

private:
    using members = std::vector<json_member>;
    /// An array or object around the next value.
    struct level {
        nlohmann::json* built;         ///< null: it is left out
        const members* wanted;         ///< of its members
        const members* wanted_in_next; ///< of the next member's value; null: that one is left out
    };
    std::size_t max_depth_;
    std::size_t max_memory_;
    std::size_t memory_ = 0; ///< bytes that the document takes
    const members& wanted_;
    nlohmann::json root_;
    std::vector<level> open_; ///< outermost first
    std::string key_;         ///< of the next member

    const members* wanted_in_next() const;
    bool add_value(nlohmann::json value, std::size_t bytes);
    nlohmann::json& add(nlohmann::json value);
    bool open(nlohmann::json value, std::size_t bytes);
    bool close();
};

} // namespace vanillagauge::internal

#endif
