/// Samples of a job's steps: slots, cursors, weight versions and staleness.
#ifndef VANILLAGAUGE_SAMPLES_SAMPLES_HPP
#define VANILLAGAUGE_SAMPLES_SAMPLES_HPP

#include "samples/checkpoint.hpp"
#include "samples/cursor.hpp"
#include "samples/job_state.hpp"
#include "samples/sample_content.hpp"
#include "samples/stream_validator.hpp"
#include "samples/version_spans.hpp"

#endif
