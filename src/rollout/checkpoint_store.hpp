/// A job's checkpoint in the Object API, through the keeper of this VM.
#ifndef VANILLAGAUGE_ROLLOUT_CHECKPOINT_STORE_HPP
#define VANILLAGAUGE_ROLLOUT_CHECKPOINT_STORE_HPP

#include "rollout/context.hpp"
#include "samples/samples.hpp"

#include <functional>
#include <memory>
#include <mutex>
#include <string>

namespace vanillagauge::rollout {

class checkpoint_store : public std::enable_shared_from_this<checkpoint_store> {
public:
    using read_done = std::function<void(result<std::optional<samples::checkpoint>>)>;

    checkpoint_store(const context& shared, std::string job) : context_(shared), job_(std::move(job)) {}

    /// Stores the record asynchronously; a store outage delays the record, never the step.
    void advance(const samples::checkpoint& record);
    void read(read_done on_done);
    /// Starts the read or write that is due.
    void tick();

    std::int64_t recorded_step() const;

private:
    struct stored {
        std::optional<samples::checkpoint> record;
        std::uint64_t version = 0;
    };

    context context_;
    const std::string job_;
    mutable std::mutex mutex_;
    samples::checkpoint_writer writer_;

    void load(std::function<void(result<stored>)> on_done);
    void write(const samples::checkpoint_write& change);
};

} // namespace vanillagauge::rollout

#endif
