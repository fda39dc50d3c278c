/// A trainer's calls for one batch, and the configuration that serves it.
#ifndef VANILLAGAUGE_REVIEW_BATCHES_HPP
#define VANILLAGAUGE_REVIEW_BATCHES_HPP

#include "users.hpp"

namespace review {

/// A configuration with one rollout route, /lots/, to the service "lm" with the model "m".
json rollout_configuration(int version);

struct batch {
    std::string id;
    std::vector<std::string> items;
};

/// A batch with new ids, in groups of four items.
batch make_batch(std::size_t items);

/// Submits the batch until a gateway accepts it; false if none does within ten seconds.
bool submit(const batch& wanted, const std::vector<std::string>& fronts, recorder& record);

/// Reads the results from a position on; status 0 where no response came.
http_message read_results(const std::string& front, const std::string& batch, std::size_t after);

/// Ends the batch; true if the end was acknowledged.
bool end_batch(const std::string& front, const std::string& batch, recorder& record);

/// The whole text of an item, as the replicas of `events` events make it.
std::string whole_text(const std::string& item, int events);

} // namespace review

#endif
