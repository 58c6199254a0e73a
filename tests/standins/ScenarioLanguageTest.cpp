#include "standins/ScenarioLanguage.h"

#include <catch2/catch.hpp>

#include <stdexcept>

using namespace pimentoward;
using Json = nlohmann::json;

TEST_CASE("A scenario script passes tables to verbs and gets their results")
{
    standins::ScenarioLanguage language;
    Json seen;
    language.add("verb", [&](const Json &arguments) {
        seen = arguments;
        return Json {{"code", 7}, {"list", {1, 2, 3}}};
    });
    const std::string error
        = language.run("local r = verb('vm-1', {rate = 1.5, names = {'a', 'b'}, on = true})\n"
                       "if r.code ~= 7 or #r.list ~= 3 then error('wrong result') end",
                       "script");
    CHECK(error.empty());
    CHECK(seen == Json {"vm-1", {{"rate", 1.5}, {"names", {"a", "b"}}, {"on", true}}});
}

TEST_CASE("The error of a failing verb or script is reported with its line number")
{
    standins::ScenarioLanguage language;
    language.add("fail", [](const Json &) -> Json { throw std::runtime_error("no such VM"); });
    CHECK(language.run("local x = 1\nfail()", "script") == "script:2: no such VM");
    CHECK(language.run("x = = 1", "script").find("script:1:") == 0);
    CHECK(language.run("fail(print)", "script").find("a verb takes only tables")
          != std::string::npos);
    // Later scripts still run after an error.
    CHECK(language.run("local x = 1", "script").empty());
}

TEST_CASE("A scenario script has no access to files, processes or modules")
{
    standins::ScenarioLanguage language;
    for (const char *name : {"io", "os", "require", "dofile", "loadfile", "package"}) {
        CAPTURE(name);
        CHECK(language.run(std::string("if ") + name + " ~= nil then error('there') end", "script")
                  .empty());
    }
}
