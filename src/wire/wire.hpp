/// Remote procedure calls to the schema's services: HTTP/1.1 for clients, HTTP/2 between our own processes.
#ifndef VANILLAGAUGE_WIRE_WIRE_HPP
#define VANILLAGAUGE_WIRE_WIRE_HPP

#include "wire/access.hpp"
#include "wire/call.hpp"
#include "wire/channel.hpp"
#include "wire/codec.hpp"
#include "wire/controller.hpp"
#include "wire/dispatcher.hpp"
#include "wire/event_loop.hpp"
#include "wire/http_channel.hpp"
#include "wire/http_server.hpp"
#include "wire/peer_channel.hpp"
#include "wire/peer_server.hpp"

#endif
