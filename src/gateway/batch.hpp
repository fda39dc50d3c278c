/// A trainer's batch of generation requests, and the store objects that hold it.
#ifndef VANILLAGAUGE_GATEWAY_BATCH_HPP
#define VANILLAGAUGE_GATEWAY_BATCH_HPP

#include "base/base.hpp"
#include "net/http_message.hpp"

#include <nlohmann/json.hpp>

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace vanillagauge::gateway {

using wall_time = std::chrono::system_clock::time_point;

/// The call that scores an item's text, made once the text is complete. It may be sent more than once.
struct scoring_call {
    std::string id;
    std::string host;
    std::string path;
    std::string body_base64;

    friend bool operator==(const scoring_call&, const scoring_call&) = default;
};

struct batch_item {
    std::string id;
    std::string path;
    std::vector<net::http_field> fields;
    std::string body_base64;
    std::string group;                     ///< items of one group share a prompt
    std::uint64_t tokens = 0;              ///< prompt plus maximum output
    double max_output = 0;                 ///< the caller's limit of the output tokens; 0: none
    double length_hint = 0;                ///< the caller's estimate of the output tokens; 0: none
    std::optional<scoring_call> scoring{}; ///< none: the item is not scored
};

/// The part of a batch that every gateway keeps in memory; the items are stored as separate objects.
struct batch_header {
    std::string id;
    std::string host;
    std::string route;
    std::string organisation; ///< that submitted it; empty: it acts for none
    std::string service;
    std::string model;
    std::string owner_vm; ///< VM of the gateway that runs the batch while it is alive
    std::uint64_t owner_incarnation = 0;
    std::uint64_t min_version = 0; ///< oldest weights that may generate its tokens
    std::uint64_t step = 0;
    std::size_t total = 0;
    std::size_t wanted_groups = 0;
    double tokens_per_event = 0; ///< of the engines' streams; 0: unknown
    double work = 0;             ///< expected output tokens of all items; 0: unknown
    std::size_t parts = 0;       ///< number of objects that hold the items
    bool single_version = false;
    int attempts = 1;
    milliseconds max_age{0};
    milliseconds result_time{0};
    wall_time accepted{};
    bool ended = false; ///< by its trainer; stored in the object's status
};

/// Batches with one key are run by one gateway, so that it alone counts the streams at the model's engines
/// and its connections serve one step after the other.
std::string owner_key(const batch_header& header);

/// Expected output tokens of the items; 0: unknown.
double expected_output(const std::vector<batch_item>& items);

struct batch_submission {
    batch_header header;
    std::vector<batch_item> items;
};

enum class item_state { completed, terminated };

struct item_result {
    std::string id;
    item_state state = item_state::completed;
    std::string text;
    std::vector<std::uint64_t> versions; ///< weights that generated its events, ascending
    std::string score{};                 ///< authentication code of the scoring response; empty: not scored

    friend bool operator==(const item_result&, const item_result&) = default;
};

/// Results at consecutive positions. Immutable once written.
struct result_segment {
    std::size_t first = 0; ///< position of its first result
    std::string writer;
    std::vector<item_result> results;
};

/// Kinds and names of the store objects.
constexpr const char* batch_kind = "batches";
constexpr const char* item_kind = "batch-items";
std::string results_kind(const std::string& batch);
std::string part_name(const std::string& batch, std::size_t part);
/// Zero-padded, so that names sort by position.
std::string segment_name(std::size_t first);

nlohmann::json to_json(const batch_header& header);
nlohmann::json to_json(const result_segment& segment);
/// The memory that an item takes.
std::size_t bytes_of(const batch_item& item);
std::size_t bytes_of(const std::vector<batch_item>& items);

/// Leaves room for JSON overhead within the store's limit of 1 MB for one value.
constexpr std::size_t max_part_bytes = 800U << 10U;

/// Items that are stored as one object.
struct item_range {
    std::size_t first = 0;
    std::size_t end = 0; ///< one past the last
    std::size_t bytes = 0;
};

/// Splits the items into parts of at most `max_bytes`; an item larger than that gets a part of its own.
std::vector<item_range> part_ranges(const std::vector<batch_item>& items, std::size_t max_bytes);
nlohmann::json to_part(const std::vector<batch_item>& items, const item_range& range);
/// All parts at once.
std::vector<nlohmann::json> to_parts(const std::vector<batch_item>& items, std::size_t max_bytes);

/// `invalid_argument` if the object cannot be decoded.
result<batch_header> header_from_json(const std::string& id, const nlohmann::json& value,
                                      const nlohmann::json& status);
result<result_segment> segment_from_json(const std::string& name, const nlohmann::json& value);
result<std::vector<batch_item>> items_from_json(const nlohmann::json& part);
result<std::vector<batch_item>> items_from_parts(const nlohmann::json& parts);

result<std::string> decode_base64(std::string_view text);

} // namespace vanillagauge::gateway

#endif
