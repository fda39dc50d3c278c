/// Replaces the parts of a JSON text that no document can hold.
#ifndef VANILLAGAUGE_JSON_INTERNAL_TEXT_REPAIR_HPP
#define VANILLAGAUGE_JSON_INTERNAL_TEXT_REPAIR_HPP

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace vanillagauge::internal {

struct repaired_text {
    std::string text;
    std::size_t replaced = 0;
    std::vector<std::string> replaced_at; ///< JSON pointers of the first parts
};

/// Whether arrays and objects that take too much memory for their text can be read.
enum class dense_parts { kept, replaced };

/// Copies a text token by token and writes null for each value that can't be read. It keeps no more state
/// than one entry a level, and at most `max_depth` levels.
class text_repair {
public:
    text_repair(std::string_view text, std::size_t max_depth, dense_parts dense)
        : text_(text), max_depth_(max_depth), dense_(dense)
    {
    }

    repaired_text run();

private:
    struct level {
        bool is_object = false;
        bool expects_key = false;
        std::string key;             ///< of the current member
        std::size_t index = 0;       ///< of the current element
        std::size_t begin = 0;       ///< position in the text
        std::size_t result_size = 0; ///< of the result before it
        std::size_t replaced = 0;    ///< parts before it
        std::size_t memory = 0;      ///< bytes that it takes as a document, beside its place
    };
    std::string_view text_;
    std::size_t max_depth_;
    dense_parts dense_;
    std::size_t at_ = 0;
    std::vector<level> levels_;
    repaired_text result_;

    void copy_symbol();
    void open_level(bool is_object);
    void close_level();
    bool is_dense(const level& closed) const;
    void count(std::size_t bytes);
    void next_element();
    void copy_string();
    void copy_scalar();
    void copy_value(std::string_view token);
    void replace_value();
    void replace(std::string_view replacement);
    void replace_since(const level& closed);
    std::string_view take_string();
    std::string_view take_scalar();
    void skip_nested();
    std::string pointer() const;
};

} // namespace vanillagauge::internal

#endif
