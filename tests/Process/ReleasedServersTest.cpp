#include "Pimentoward/Process/ReleasedServers.h"

#include <catch2/catch.hpp>

using namespace pimentoward;

TEST_CASE(
    "A released backend server is idle once the query task uses the new view and has no work there")
{
    ReleasedServers released;
    released.onPublished(1, {"s0", "s1"});
    CHECK_FALSE(released.needsReport());
    released.onPublished(2, {"s1"});
    CHECK(released.needsReport());
    CHECK_FALSE(released.isIdle("s0"));
    // A report about an earlier view does not count.
    released.onReport(1, {});
    CHECK_FALSE(released.isIdle("s0"));
    released.onReport(2, {"s0"});
    CHECK_FALSE(released.isIdle("s0"));
    released.onReport(3, {});
    CHECK(released.isIdle("s0"));
    CHECK_FALSE(released.isIdle("s1"));
    CHECK_FALSE(released.needsReport());
}

TEST_CASE("A backend server that is owned again is idle only after another release and report")
{
    ReleasedServers released;
    released.onPublished(1, {"s0"});
    released.onPublished(2, {});
    released.onReport(2, {});
    CHECK(released.isIdle("s0"));
    released.onPublished(3, {"s0"});
    CHECK_FALSE(released.isIdle("s0"));
    released.onPublished(4, {});
    CHECK_FALSE(released.isIdle("s0"));
    released.onReport(3, {});
    CHECK_FALSE(released.isIdle("s0"));
}
