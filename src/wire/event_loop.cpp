#include "wire/event_loop.hpp"

#include "observe/crash_report.hpp"
#include "wire/internal/callback_gate.hpp"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include <algorithm>
#include <future>
#include <thread>

namespace vanillagauge::wire {
namespace {

/// The end of a longer delay could be beyond what the clock can represent.
constexpr milliseconds max_delay{std::chrono::hours{24 * 365}};

} // namespace

struct event_loop::state {
    boost::asio::io_context context{1};
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> guard{context.get_executor()};
    std::shared_ptr<internal::callback_gate> callbacks = std::make_shared<internal::callback_gate>();
    std::thread thread{[this] {
        const observe::crash_stack stack;
        context.run();
    }};
};

event_loop::event_loop() : state_(std::make_unique<state>()) {}

event_loop::~event_loop()
{
    stop();
}

void event_loop::post(std::function<void()> work)
{
    boost::asio::post(state_->context, std::move(work));
}

void event_loop::run_and_wait(const std::function<void()>& work)
{
    if (state_->context.stopped()) {
        stop(); // the last handler may still be running
    }
    if (state_->context.stopped() || state_->thread.get_id() == std::this_thread::get_id()) {
        work();
        return;
    }
    std::promise<void> done;
    post([&work, &done] {
        work();
        done.set_value();
    });
    done.get_future().wait();
}

timer_cancel event_loop::after(milliseconds delay, std::function<void()> work)
{
    auto timer = std::make_shared<boost::asio::steady_timer>(state_->context);
    timer->expires_after(std::min(delay, max_delay));
    timer->async_wait([timer, work = std::move(work)](const boost::system::error_code& failure) {
        if (!failure) {
            work();
        }
    });
    std::weak_ptr<boost::asio::steady_timer> weak = timer;
    // Asio timers are not thread-safe, so the cancellation is posted to the thread of the loop.
    return [weak, this] {
        boost::asio::post(state_->context, [weak] {
            if (const auto alive = weak.lock()) {
                alive->cancel();
            }
        });
    };
}

// Once it returns, programs destroy what callbacks use, while the HTTP client's threads run on. The callbacks
// end before the thread does, since one of them may wait for it.
void event_loop::stop()
{
    const bool on_loop = state_->thread.get_id() == std::this_thread::get_id();
    state_->callbacks->close();
    if (!on_loop) {
        state_->callbacks->wait_until_idle();
    }
    state_->context.stop();
    if (!on_loop && state_->thread.joinable()) {
        state_->thread.join();
    }
}

std::shared_ptr<internal::callback_gate> event_loop::callbacks() const
{
    return state_->callbacks;
}

boost::asio::io_context& event_loop::context()
{
    return state_->context;
}

} // namespace vanillagauge::wire
