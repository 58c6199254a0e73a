#include "Pimentoward/Request/CallerRequest.h"
#include "tests/support/QueryPlans.h"

#include <catch2/catch.hpp>

using namespace pimentoward;

TEST_CASE("A mutated query request is refused with a reason or parsed into valid values",
          "[request]")
{
    const std::string valid[] = {
        R"({"service":"coach-app","key":"child-000101","deadlineMs":250,"class":"interactive"})",
        R"({"service":"shopfront","field":"model","value":"Kingfisher","class":"evening"})",
    };
    std::mt19937 random(6);
    constexpr int inputs = 100'000;
    int accepted = 0;
    for (int input = 0; input < inputs; ++input) {
        const std::string text = tests::mutated(valid[input % 2], random);
        Reason reason;
        const auto request = CallerRequest::parse(text, reason);
        if (!request) {
            if (reason.code == ResultCode::Ok || reason.text.empty()) {
                FAIL(text);
            }
            continue;
        }
        ++accepted;
        const auto deadline = request->deadline.value_or(std::chrono::milliseconds(1));
        const bool isUsable = !request->service.empty()
            && request->key.empty() != request->field.empty() && deadline.count() >= 1
            && deadline <= CallerRequest::maxDeadline && !request->backendBody().empty();
        if (!isUsable) {
            FAIL(text);
        }
    }
    CHECK(accepted > 0);
    CHECK(accepted < inputs);
}
