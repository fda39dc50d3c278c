/// Shared by the programs of a VM: start and stop, the connection to the keeper, channels to targets.
#ifndef VANILLAGAUGE_NODE_NODE_HPP
#define VANILLAGAUGE_NODE_NODE_HPP

#include "node/channel_pool.hpp"
#include "node/convert.hpp"
#include "node/keeper_link.hpp"
#include "node/program.hpp"
#include "node/shared_quarantine.hpp"
#include "node/target_directory.hpp"
#include "node/target_group.hpp"

#endif
