/// Reading of JSON that other programs wrote.
#ifndef VANILLAGAUGE_JSON_JSON_HPP
#define VANILLAGAUGE_JSON_JSON_HPP

#include "json/checked_number.hpp"
#include "json/parse.hpp"

#endif
