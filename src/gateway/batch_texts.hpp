/// Texts of a batch that are not listed yet, kept in the store so that another owner goes on with them.
#ifndef VANILLAGAUGE_GATEWAY_BATCH_TEXTS_HPP
#define VANILLAGAUGE_GATEWAY_BATCH_TEXTS_HPP

#include "gateway/batch_progress.hpp"
#include "gateway/object_store.hpp"

#include <string>
#include <vector>

namespace vanillagauge::gateway {

constexpr const char* text_kind = "batch-texts";

/// The longest texts that are not listed, up to what one object holds. Short ones are soon made again.
std::vector<saved_text> texts_to_save(const batch_progress& progress);

nlohmann::json to_json(const std::vector<saved_text>& texts);
/// An entry that is not what this project writes is an `invalid_argument`.
result<std::vector<saved_text>> texts_from_json(const nlohmann::json& value);

/// Keeps the texts of one batch, each time in place of those before.
class text_store {
public:
    /// The store must outlive it.
    text_store(object_store& store, std::string batch) : store_(store), batch_(std::move(batch)) {}

    net::task_of<done> save(std::vector<saved_text> texts);
    /// What an earlier owner kept; `not_found` where there is nothing.
    net::task_of<std::vector<saved_text>> load();

private:
    object_store& store_;
    std::string batch_;
    std::uint64_t revision_ = 0; ///< of what this owner knows to stand; 0: nothing
};

} // namespace vanillagauge::gateway

#endif
