/// Entries that another writer left in the store, most of them among those of the replicas.
#ifndef VANILLAGAUGE_TESTS_ODD_ENTRIES_ODD_ENTRY_HPP
#define VANILLAGAUGE_TESTS_ODD_ENTRIES_ODD_ENTRY_HPP

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <string>

namespace vanillagauge::odd_entries {

/// The fields of a sound entry, from which an odd one differs in one place.
struct sound_entry {
    std::string name;
    std::string address;
    std::string service;
    std::string other_name;      ///< of another entry in the list
    std::string gateway_address; ///< where a gateway serves callers
};

/// The object's text at this revision.
using entry_text = std::function<std::string(const sound_entry&, std::uint64_t revision)>;

struct odd_entry {
    entry_text text;
    std::string place = "servers"; ///< the store's kind of objects
    std::size_t count = 1;         ///< such entries
};

/// By name; `none` is sound.
const std::map<std::string, odd_entry>& all_kinds();

} // namespace vanillagauge::odd_entries

#endif
