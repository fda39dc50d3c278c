/// Addresses, clocks, digests, errors and results, used by every library.
#ifndef VANILLAGAUGE_BASE_BASE_HPP
#define VANILLAGAUGE_BASE_BASE_HPP

#include "base/address.hpp"
#include "base/clock.hpp"
#include "base/digest.hpp"
#include "base/error.hpp"
#include "base/result.hpp"
#include "base/utf8.hpp"

#endif
