/// One caller's generation: streams an engine's chunks, with their weight versions, to the caller.
#ifndef VANILLAGAUGE_ENTRY_STREAMED_GENERATE_HPP
#define VANILLAGAUGE_ENTRY_STREAMED_GENERATE_HPP

#include "entry/entry_service.hpp"
#include "observe/trace.hpp"

#include "target.pb.h"

#include <functional>
#include <memory>
#include <mutex>

namespace vanillagauge::entry {

class streamed_generate : public std::enable_shared_from_this<streamed_generate> {
public:
    /// Returns false once the caller has disconnected; the engine is then stopped.
    using on_chunk = std::function<bool(const v1::GenerateChunk&)>;
    using completion = std::function<void(result<done>)>;

    streamed_generate(const entry_context& context, std::shared_ptr<node::target_group> group,
                      v1::GenerateRequest request, time_point deadline, const observe::trace_context& trace,
                      on_chunk chunk, completion on_done);

    void start();

private:
    entry_context context_;
    std::shared_ptr<node::target_group> group_;
    v1::GenerateRequest request_;
    time_point deadline_;
    observe::span span_;
    on_chunk on_chunk_;
    completion on_done_;
    policy::work work_;
    std::uint64_t fingerprint_;
    time_point started_at_;  ///< of the current attempt
    duration first_chunk_{}; ///< of the current attempt; zero: none yet
    run_state ran_ = run_state::not_run;
    int attempts_ = 0;
    std::string text_;
    int tokens_ = 0;
    int next_sequence_ = 0;
    bool complete_ = false;
    bool mismatched_ = false;
    std::mutex mutex_;
    wire::call_cancel cancel_; ///< of the current attempt
    bool caller_disconnected_ = false;

    void launch(const node::target_group::endpoint& endpoint);
    void receive(const target::v1::GenerateChunk& chunk);
    void on_end(const std::string& target, const result<done>& outcome);
    void report(const std::string& target, const result<done>& outcome);
    bool retry(const error& failure);
    void stop_engine();
    void finish(const result<done>& outcome);
};

} // namespace vanillagauge::entry

#endif
