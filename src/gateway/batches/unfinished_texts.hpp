/// Texts of items that ended batches left unfinished, for trainers that submit these items again.
#ifndef VANILLAGAUGE_GATEWAY_BATCHES_UNFINISHED_TEXTS_HPP
#define VANILLAGAUGE_GATEWAY_BATCHES_UNFINISHED_TEXTS_HPP

#include "gateway/batch_progress.hpp"

#include <cstddef>
#include <list>
#include <map>
#include <string>
#include <vector>

namespace vanillagauge::gateway {

class unfinished_texts {
public:
    /// Evicts the oldest texts beyond `max_bytes`, which count the texts with their keys.
    explicit unfinished_texts(std::size_t max_bytes = 4U << 20U) : max_bytes_(max_bytes) {}

    /// Stores the unpublished texts of a batch that has ended.
    void save(const batch_progress& progress);
    /// Restores the texts of waiting items of the same model, organisation and request, where their versions
    /// fit the batch; returns the indexes of these items. A text is used at most once.
    std::vector<std::size_t> restore(batch_progress& progress);
    std::size_t bytes() const { return bytes_; }

private:
    struct entry {
        std::string key;
        saved_text text;

        std::size_t bytes() const;
    };
    std::size_t max_bytes_;
    std::size_t bytes_ = 0;
    std::list<entry> entries_; ///< oldest first
    std::map<std::string, std::list<entry>::iterator> by_key_;

    void erase(std::map<std::string, std::list<entry>::iterator>::iterator found);
};

} // namespace vanillagauge::gateway

#endif
