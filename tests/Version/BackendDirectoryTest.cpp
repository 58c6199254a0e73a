#include "Pimentoward/Version/BackendDirectory.h"

#include <catch2/catch.hpp>

using namespace pimentoward;
using namespace std::chrono_literals;

namespace {

const SteadyTime start {std::chrono::hours(1)};

BackendRecord record(const std::string &id, const std::string &domain = "a")
{
    BackendRecord record;
    record.id = id;
    record.service = "s";
    record.failureDomain = domain;
    return record;
}

std::size_t inServiceCount(BackendDirectory &directory)
{
    return directory.list()->size;
}

} // namespace

TEST_CASE("A record that is removed without an outage is dropped at once")
{
    BackendDirectory directory;
    directory.onWritten("1", record("1"));
    directory.onRemoved("1", start);
    CHECK(inServiceCount(directory) == 0);
}

TEST_CASE("A record that is removed shortly after an outage is kept until its backend server "
          "has had time to write it again")
{
    BackendDirectory directory;
    directory.onWritten("back", record("back"));
    directory.onWritten("dead", record("dead"));
    directory.onOutage(start);
    directory.onListed({}, start + 100ms);
    CHECK(inServiceCount(directory) == 2);
    directory.onWritten("back", record("back"));
    REQUIRE(directory.nextExpiry().has_value());
    CHECK_FALSE(directory.expire(start + 2s));
    CHECK(directory.expire(*directory.nextExpiry()));
    CHECK(inServiceCount(directory) == 1);
    CHECK_FALSE(directory.nextExpiry().has_value());
}

TEST_CASE("Without the grace period, an outage removes all backend servers")
{
    BackendDirectory::Settings settings;
    settings.outageGrace = Duration::zero();
    BackendDirectory directory(settings);
    directory.onWritten("1", record("1"));
    directory.onOutage(start);
    directory.onListed({}, start + 100ms);
    CHECK(inServiceCount(directory) == 0);
}

TEST_CASE("Leaving servers, unreadable records and domains out of service are not listed")
{
    BackendDirectory directory;
    directory.onWritten("1", record("1", "a"));
    directory.onWritten("2", record("2", "b"));
    BackendRecord leaving = record("3", "b");
    leaving.isLeaving = true;
    directory.onWritten("3", leaving);
    CHECK(inServiceCount(directory) == 2);
    directory.setDomainOutOfService("a", true);
    CHECK(inServiceCount(directory) == 1);
    directory.setDomainOutOfService("a", false);
    directory.onWritten("2", std::nullopt);
    CHECK(inServiceCount(directory) == 1);
}

TEST_CASE("A list that has been returned does not change later")
{
    BackendDirectory directory;
    directory.onWritten("1", record("1"));
    const BackendListPtr before = directory.list();
    directory.onRemoved("1", start);
    CHECK(before->size == 1);
    CHECK(directory.list() != before);
}
