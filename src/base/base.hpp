/// Ids, results, errors and clocks that every library of the project uses.
#ifndef VANILLAGAUGE_BASE_BASE_HPP
#define VANILLAGAUGE_BASE_BASE_HPP

#include "base/address.hpp"
#include "base/clock.hpp"
#include "base/digest.hpp"
#include "base/error.hpp"
#include "base/result.hpp"

#endif
