/// HTTP/1.1 client and server on coroutines.
#ifndef VANILLAGAUGE_NET_NET_HPP
#define VANILLAGAUGE_NET_NET_HPP

#include "net/async_condition.hpp"
#include "net/connection_account.hpp"
#include "net/connection_pool.hpp"
#include "net/event_stream.hpp"
#include "net/http_client.hpp"
#include "net/http_message.hpp"
#include "net/http_service.hpp"
#include "net/response_head.hpp"
#include "net/task.hpp"

#endif
