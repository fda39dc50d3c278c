/// Builds a document from the events of the JSON parser and ends at the first level that is too deep.
#ifndef VANILLAGAUGE_JSON_INTERNAL_BOUNDED_BUILDER_HPP
#define VANILLAGAUGE_JSON_INTERNAL_BOUNDED_BUILDER_HPP

#include <nlohmann/json.hpp>

#include <cstddef>
#include <string>
#include <vector>

namespace vanillagauge::internal {

/// Copying, comparing and writing a document recurse once a level, so its depth must be bounded before it is
/// built.
class bounded_builder final : public nlohmann::json_sax<nlohmann::json> {
public:
    explicit bounded_builder(std::size_t max_depth) : max_depth_(max_depth) {}

    /// The finished document.
    nlohmann::json take() { return std::move(root_); }

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
    std::size_t max_depth_;
    nlohmann::json root_;
    std::vector<nlohmann::json*> open_; ///< the arrays and objects around the next value, outermost first
    std::string key_;                   ///< of the next member

    nlohmann::json& add(nlohmann::json value);
    bool open(nlohmann::json value);
    bool close();
};

} // namespace vanillagauge::internal

#endif
