#include "entry/claim_run_guard.hpp"

#include <mutex>

namespace vanillagauge::entry {
namespace {

/// Permits one attempt at a time, and none after one that may have run; shared by the channels of a call.
class run_permit {
public:
    bool acquire()
    {
        const std::lock_guard lock(mutex_);
        return !std::exchange(acquired_, true);
    }

    void release()
    {
        const std::lock_guard lock(mutex_);
        acquired_ = false;
    }

private:
    std::mutex mutex_;
    bool acquired_ = false;
};

/// Prevents two ways to run a call twice that the claim protocol does not see. The HTTP client resends a
/// request when a pooled connection closes before the answer, though the target may have run it; it never
/// resends on a fresh connection. A driver that retries or hedges would start a second attempt; that is
/// refused while the first may have run.
class guarded_channel final : public wire::channel {
public:
    guarded_channel(std::shared_ptr<wire::channel> inner, std::shared_ptr<run_permit> permit)
        : inner_(std::move(inner)), permit_(std::move(permit))
    {
    }

    wire::codec encoding() const override { return inner_->encoding(); }

    wire::call_cancel start(const std::string& path, std::string body, const wire::call_options& options,
                            on_chunk chunk, on_done done) override
    {
        if (!permit_->acquire()) {
            done(error{error_code::cancelled, run_state::not_run, "the call may have run already"});
            return [] {};
        }
        auto fresh = options;
        fresh.fresh_connection = true;
        auto finish = [permit = permit_, done = std::move(done)](result<std::string> outcome) {
            if (!ok(outcome) && failure(outcome).ran == run_state::not_run) {
                permit->release();
            }
            done(std::move(outcome));
        };
        return inner_->start(path, std::move(body), fresh, std::move(chunk), std::move(finish));
    }

private:
    std::shared_ptr<wire::channel> inner_;
    std::shared_ptr<run_permit> permit_;
};

} // namespace

std::shared_ptr<node::channel_pool> guarded_channels(node::channel_pool& targets)
{
    auto permit = std::make_shared<run_permit>();
    return std::make_shared<node::channel_pool>([&targets, permit](const std::string& address) {
        return std::make_shared<guarded_channel>(targets.at(address), permit);
    });
}

} // namespace vanillagauge::entry
