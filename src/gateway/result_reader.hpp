/// Reads the published results of batches, from the gateway that runs the batch or from the store.
#ifndef VANILLAGAUGE_GATEWAY_RESULT_READER_HPP
#define VANILLAGAUGE_GATEWAY_RESULT_READER_HPP

#include "gateway/batch_runner.hpp"
#include "gateway/batch_store.hpp"
#include "gateway/peer_relay.hpp"

#include <map>
#include <optional>
#include <set>
#include <string>

namespace vanillagauge::gateway {

/// Results at the positions from `first` on.
struct result_page {
    std::size_t total = 0;
    std::size_t first = 0;
    std::vector<item_result> results;
};

/// Path of peers' reads of the results of batches that run here.
constexpr const char* results_path = "/results";

class result_reader {
public:
    /// All must outlive it.
    result_reader(peer_relay& store, batch_runner& runner, const fleet_view& fleet);

    /// Waits at most `wait` for a result. `unavailable` if a result published by another gateway may be
    /// missing here.
    net::task_of<result_page> read(batch_header header, std::size_t first, milliseconds wait);
    /// Serves a peer's read.
    net::task<net::http_response> serve(const net::http_request& request);

private:
    /// What is known of a batch's stored results from earlier reads.
    struct known_results {
        std::set<std::size_t> segment_ends; ///< positions after a segment
        std::size_t end = 0;                ///< no result from this position on
        std::uint64_t as_of = 0;            ///< store revision of `end`; 0: never read
    };
    peer_relay& store_;
    batch_runner& runner_;
    const fleet_view& fleet_;
    std::map<std::string, known_results> known_results_; ///< by batch

    net::task_of<std::vector<item_result>> ask_owner(const batch_header& header, std::size_t first,
                                                     time_point until);
    net::task_of<result_page> read_store(std::string batch, result_page page, time_point until);
    void record_segments(const std::string& batch, const std::vector<result_segment>& segments,
                         std::uint64_t as_of);
    /// The store revision at which there was no result from the position on; 0: not known.
    std::uint64_t empty_as_of(const std::string& batch, std::size_t first) const;
    net::task_of<segment_listing> segments_from(std::string batch, std::size_t first);
    /// Waits for results newer than the revision and adds them; false: the read failed.
    net::task<bool> add_new_results(result_page& page, std::string batch, std::uint64_t since,
                                    time_point until);
};

} // namespace vanillagauge::gateway

#endif
