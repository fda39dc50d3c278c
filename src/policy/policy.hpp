/// Load management decisions without network, clock or threads: time and events in, decisions out.
#ifndef VANILLAGAUGE_POLICY_POLICY_HPP
#define VANILLAGAUGE_POLICY_POLICY_HPP

#include "policy/background_capacity.hpp"
#include "policy/concurrency_limit.hpp"
#include "policy/copy_age.hpp"
#include "policy/engine_speed.hpp"
#include "policy/expiry_grace.hpp"
#include "policy/fair_queue.hpp"
#include "policy/feed_plan.hpp"
#include "policy/latency_quantile.hpp"
#include "policy/load_hint.hpp"
#include "policy/order_lease.hpp"
#include "policy/outlier_ejection.hpp"
#include "policy/owner_choice.hpp"
#include "policy/placement.hpp"
#include "policy/publish_plan.hpp"
#include "policy/quarantine.hpp"
#include "policy/retry_budget.hpp"
#include "policy/run_length.hpp"
#include "policy/run_move.hpp"
#include "policy/scheduler.hpp"
#include "policy/slow_start.hpp"
#include "policy/step_placement.hpp"
#include "policy/store_breaker.hpp"
#include "policy/straggler.hpp"
#include "policy/target_pool.hpp"
#include "policy/wave_fence.hpp"
#include "policy/wave_plan.hpp"
#include "policy/weight_load_plan.hpp"
#include "policy/work.hpp"

#endif
