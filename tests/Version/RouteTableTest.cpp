#include "Pimentoward/Version/RouteTable.h"

#include <catch2/catch.hpp>

using namespace pimentoward;

namespace {

Route route(const std::string &host, const std::string &prefix)
{
    Route route;
    route.name = host + prefix;
    route.host = host;
    route.prefix = prefix;
    route.split = {{"service", 1}};
    return route;
}

std::string routeName(const RouteTable &table, const char *host, const char *path)
{
    const Route *route = table.find(host, path);
    return route == nullptr ? "none" : route->name;
}

} // namespace

TEST_CASE("The route with the longest matching path prefix of its host is chosen")
{
    const RouteTable table(1,
                           {route("h", "/a/"), route("h", "/a/b/"), route("h", "/a/b/c/"),
                            route("h", "/"), route("other", "/a/b/c/d/")},
                           {}, {});
    CHECK(routeName(table, "h", "/a/b/x") == "h/a/b/");
    CHECK(routeName(table, "h", "/a/b/c/d/e") == "h/a/b/c/");
    CHECK(routeName(table, "h", "/a/b") == "h/a/");
    CHECK(routeName(table, "h", "/a") == "h/");
    CHECK(routeName(table, "h", "/ab/c") == "h/");
    CHECK(routeName(table, "h", "/a/x?y=/a/b/c/") == "h/a/");
    CHECK(routeName(table, "h", "//a/b/") == "h/");
    CHECK(routeName(table, "other", "/a/b/c/") == "none");
    CHECK(routeName(table, "unknown", "/a/") == "none");
}

TEST_CASE("Hosts are compared without regard to case and port")
{
    const RouteTable table(1, {route("Some.Example", "/a/")}, {}, {});
    CHECK(routeName(table, "some.example", "/a/") == "Some.Example/a/");
    CHECK(routeName(table, "SOME.EXAMPLE:8080", "/a/") == "Some.Example/a/");
    CHECK(routeName(table, "some.example.org", "/a/") == "none");
    CHECK(routeName(table, "", "/a/") == "none");
}
