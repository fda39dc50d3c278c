/// Scores one sample, with bounded retries.
#ifndef VANILLAGAUGE_ROLLOUT_SCORING_HPP
#define VANILLAGAUGE_ROLLOUT_SCORING_HPP

#include "observe/trace.hpp"
#include "rollout/context.hpp"

#include "target.pb.h"

#include <functional>
#include <memory>
#include <set>
#include <string>

namespace vanillagauge::rollout {

struct score_request {
    std::string scorer; ///< the deployment
    std::string sample_id;
    std::string prompt;
    std::string text;
};

class scoring : public std::enable_shared_from_this<scoring> {
public:
    using completion = std::function<void(result<double>)>;

    scoring(const context& shared, score_request request, completion on_done)
        : context_(shared), request_(std::move(request)), on_done_(std::move(on_done)),
          span_(observe::new_trace(), "rollout.score")
    {
        span_.set_attribute("request_id", request_.sample_id);
    }

    void start();

private:
    context context_;
    score_request request_;
    completion on_done_;
    observe::span span_;
    int attempts_ = 0;
    std::set<std::string> tried_;

    void on_reply(const std::string& target, const result<target::v1::ScoreReply>& reply);
    void retry(const error& cause);
};

} // namespace vanillagauge::rollout

#endif
