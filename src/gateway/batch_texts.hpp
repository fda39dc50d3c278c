/// Stores the unpublished texts of a batch, so that another owner can continue them.
#ifndef VANILLAGAUGE_GATEWAY_BATCH_TEXTS_HPP
#define VANILLAGAUGE_GATEWAY_BATCH_TEXTS_HPP

#include "gateway/batch_progress.hpp"
#include "gateway/object_store.hpp"

#include <string>
#include <vector>

namespace vanillagauge::gateway {

constexpr const char* text_kind = "batch-texts";

/// The longest unpublished texts, up to the size of one store object. Short ones are quickly regenerated.
std::vector<saved_text> texts_to_save(const batch_progress& progress);

nlohmann::json to_json(const std::vector<saved_text>& texts);
/// `invalid_argument` if the object cannot be decoded.
result<std::vector<saved_text>> texts_from_json(const nlohmann::json& value);

/// Stores the texts of one batch; each save replaces the previous one.
class text_store {
public:
    /// The store must outlive it.
    text_store(object_store& store, std::string batch) : store_(store), batch_(std::move(batch)) {}

    net::task_of<done> save(std::vector<saved_text> texts);
    /// The texts saved by an earlier owner; `not_found` if there are none.
    net::task_of<std::vector<saved_text>> load();

private:
    object_store& store_;
    std::string batch_;
    std::uint64_t revision_ = 0; ///< of the stored object, as last seen; 0: none
};

} // namespace vanillagauge::gateway

#endif
