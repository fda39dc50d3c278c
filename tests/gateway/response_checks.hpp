/// What a caller gets where its replica's response was not whole.
#ifndef VANILLAGAUGE_TESTS_GATEWAY_RESPONSE_CHECKS_HPP
#define VANILLAGAUGE_TESTS_GATEWAY_RESPONSE_CHECKS_HPP

#include "net/http_client.hpp"

#include <gtest/gtest.h>

namespace vanillagauge::gateway {

inline void expect_success(const net::http_result<net::http_response>& outcome, const std::string& id,
                           const std::string& body)
{
    const auto* response = std::get_if<net::http_response>(&outcome);
    ASSERT_NE(response, nullptr);
    EXPECT_EQ(response->status, 200);
    EXPECT_EQ(response->fields.find("Server-Stamp"), "stamp-of-" + id);
    EXPECT_EQ(response->body, body);
}

/// The request may have run, and nothing of the replica's response is passed on.
inline void expect_in_doubt(const net::http_result<net::http_response>& outcome)
{
    const auto* response = std::get_if<net::http_response>(&outcome);
    ASSERT_NE(response, nullptr);
    EXPECT_EQ(response->status, 502);
    EXPECT_FALSE(response->fields.contains("Server-Stamp"));
}

inline void expect_visibly_incomplete(const net::http_result<net::http_response>& outcome)
{
    const auto* failed = std::get_if<net::http_failure>(&outcome);
    ASSERT_NE(failed, nullptr);
    EXPECT_EQ(failed->kind, net::failure_kind::closed);
}

} // namespace vanillagauge::gateway

#endif
