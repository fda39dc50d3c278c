/// A stand-in model engine: streams tokens with version labels, swaps weights, reports load with a delay.
#ifndef VANILLAGAUGE_STANDINS_TARGET_ENGINE_HPP
#define VANILLAGAUGE_STANDINS_TARGET_ENGINE_HPP

#include "faults.hpp"

#include "target.pb.h"
#include "wire/wire.hpp"

#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <string>

namespace vanillagauge::standins {

struct engine_options {
    milliseconds chunk_time{20}; ///< time for one chunk at an idle engine
    int chunk_tokens = 8;
    int capacity = 16;           ///< concurrent streams at full speed; more share the throughput
    milliseconds load_time{300}; ///< time to load a version
    std::uint64_t version = 1;
    std::uint64_t seed = 1;
    bool enforce_fencing = false;
    milliseconds report_lag{500};
};

class engine final : public target::v1::Engine {
public:
    engine(engine_options options, fault_state& faults, wire::event_loop& loop);

    void Generate(google::protobuf::RpcController* control, const target::v1::GenerateRequest* request,
                  target::v1::GenerateChunk* reply, google::protobuf::Closure* done) override;
    void Cancel(google::protobuf::RpcController* control, const target::v1::CancelRequest* request,
                target::v1::CancelReply* reply, google::protobuf::Closure* done) override;
    void Order(google::protobuf::RpcController* control, const target::v1::OrderRequest* request,
               target::v1::OrderReply* reply, google::protobuf::Closure* done) override;
    void Load(google::protobuf::RpcController* control, const target::v1::LoadRequest* request,
              target::v1::LoadReply* reply, google::protobuf::Closure* done) override;
    void CacheEvents(google::protobuf::RpcController* control, const target::v1::CacheEventsRequest* request,
                     target::v1::CacheEventsReply* reply, google::protobuf::Closure* done) override;
    void ExportCache(google::protobuf::RpcController* control, const target::v1::ExportRequest* request,
                     target::v1::ExportReply* reply, google::protobuf::Closure* done) override;
    void ImportCache(google::protobuf::RpcController* control, const target::v1::ImportRequest* request,
                     target::v1::ImportReply* reply, google::protobuf::Closure* done) override;

private:
    struct stream {
        wire::controller* control = nullptr;
        google::protobuf::Closure* done = nullptr;
        std::string request_id;
        int sequence = 0;
        int tokens = 0;
        int total_tokens = 0;
        bool cancelled = false;
    };
    using stream_ptr = std::shared_ptr<stream>;
    const engine_options options_;
    fault_state& faults_;
    wire::event_loop& loop_;
    std::mutex mutex_;
    std::mt19937_64 random_;
    std::uint64_t version_;
    std::uint64_t fencing_token_ = 0;
    std::string role_ = "serve";
    time_point loading_until_{};
    std::map<std::string, stream_ptr> streams_;
    std::deque<std::pair<time_point, int>> load_history_;
    std::deque<target::v1::CacheEvent> cache_events_;
    std::uint64_t next_cache_event_ = 1;

    /// The same for a sample on every engine: the part of the id after '#' names only the stream.
    int draw_length(const std::string& request_id, int max_tokens) const;
    milliseconds remaining_load_time() const;
    void send_chunk(const stream_ptr& running);
    milliseconds chunk_delay();
    void record_load();
    void record_prefix(const std::string& prompt);
};

} // namespace vanillagauge::standins

#endif
