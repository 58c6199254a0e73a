#include "Pimentoward/Connection/BackendNotices.h"
#include "Pimentoward/Connection/RetryAfter.h"

#include <catch2/catch.hpp>

using namespace pimentoward;
using namespace std::chrono_literals;

namespace {

const SteadyTime start {std::chrono::hours(1)};

BackendRecord recordOf(const std::string &id, Incarnation incarnation)
{
    BackendRecord record;
    record.id = id;
    record.address = {"10.0.0.1", 80};
    record.incarnation = incarnation;
    return record;
}

std::optional<Duration> retryAfterOf(const std::string &value, const std::string &date = "")
{
    HttpHeaders headers;
    headers.add("Retry-After", value);
    if (!date.empty()) {
        headers.add("Date", date);
    }
    return retryAfter(headers);
}

} // namespace

TEST_CASE("A notice holds for one run of a backend server")
{
    BackendNotices notices;
    notices.onLeaving(recordOf("i-1", 5));
    notices.onPauseRequested(recordOf("i-2", 5), start + 2s);
    CHECK(notices.notice(recordOf("i-1", 5)).isLeaving);
    CHECK_FALSE(notices.notice(recordOf("i-1", 6)).isLeaving);
    CHECK(notices.notice(recordOf("i-2", 5)).pausedUntil == start + 2s);
    CHECK_FALSE(notices.notice(recordOf("i-2", 5)).isLeaving);
    BackendRecord elsewhere = recordOf("i-1", 5);
    elsewhere.address.port = 81;
    CHECK_FALSE(notices.notice(elsewhere).isLeaving);
}

TEST_CASE("A later and shorter pause does not end an earlier one")
{
    BackendNotices notices;
    notices.onPauseRequested(recordOf("i-1", 5), start + 9s);
    notices.onPauseRequested(recordOf("i-1", 5), start + 2s);
    notices.onLeaving(recordOf("i-1", 5));
    CHECK(notices.notice(recordOf("i-1", 5)).pausedUntil == start + 9s);
}

TEST_CASE("The number of remembered notices is limited, and the oldest are forgotten first")
{
    constexpr std::size_t limit = 3;
    BackendNotices notices(limit);
    for (int server = 0; server < 5; ++server) {
        notices.onLeaving(recordOf("i-" + std::to_string(server), 5));
    }
    CHECK_FALSE(notices.notice(recordOf("i-1", 5)).isLeaving);
    CHECK(notices.notice(recordOf("i-2", 5)).isLeaving);
    CHECK(notices.notice(recordOf("i-4", 5)).isLeaving);
}

TEST_CASE("Retry-After is read in seconds and as a date, and bounded")
{
    CHECK(retryAfterOf("3") == Duration(3s));
    CHECK(retryAfterOf("0") == Duration::zero());
    CHECK(retryAfterOf("1.25") == Duration(1250ms));
    CHECK(retryAfterOf("31536000") == Duration(maxRetryAfter));
    CHECK(retryAfterOf("99999999999999999999999999") == Duration(maxRetryAfter));
    const std::string date = "Sun, 06 Nov 1994 08:49:37 GMT";
    CHECK(retryAfterOf("Sun, 06 Nov 1994 08:49:42 GMT", date) == Duration(5s));
    CHECK_FALSE(retryAfterOf("Sun, 06 Nov 1994 08:49:30 GMT", date));
    CHECK_FALSE(retryAfterOf("Sun, 06 Nov 1994 08:49:42 GMT"));
    for (const char *malformed : {"", "-1", "soon", "1e9", "nan", "0x10", ".5", "1.2.3", "+4"}) {
        CHECK_FALSE(retryAfterOf(malformed));
    }
    CHECK_FALSE(retryAfter(HttpHeaders()));
}

TEST_CASE("A Retry-After field that is sent is read back as the time that was asked for")
{
    CHECK(retryAfterText(300ms) == "0.300");
    CHECK(retryAfterText(12'045ms) == "12.045");
    CHECK(retryAfterOf(retryAfterText(Duration(1))) == Duration(1ms));
}
