#include "Pimentoward/Request/QueryAnswer.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

using namespace pimentoward;

TEST_CASE("Arrays of records are joined to valid JSON, empty ones with spaces included",
          "[request]")
{
    QueryAnswer answer;
    answer.recordArrays = {"[ ]", "[{\"a\":1}]", "[]", "[\n]", "[2, 3 ]", "no array"};
    const nlohmann::json json = nlohmann::json::parse(answer.toJson());
    CHECK(json["records"] == nlohmann::json::parse("[{\"a\":1}, 2, 3]"));
}
