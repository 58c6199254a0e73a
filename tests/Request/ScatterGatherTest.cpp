#include "Pimentoward/Request/ScatterGather.h"
#include "tests/support/QueryPlans.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <random>

using namespace pimentoward;

namespace {

const SteadyTime startTime {std::chrono::hours(1)};
const SteadyTime deadline = startTime + std::chrono::seconds(1);

Subreply replyTo(const SubrequestItem &item, const std::string &body)
{
    Subreply reply;
    reply.requestId = "request";
    reply.number = item.number;
    reply.shard = item.shard;
    reply.backendServer = item.backendServer;
    reply.version = 7;
    reply.body = body;
    return reply;
}

std::vector<SubrequestItem> sentItems(const ScatterGather::Actions &actions)
{
    std::vector<SubrequestItem> items;
    for (const auto &action : actions) {
        if (const auto *send = std::get_if<ScatterGather::Send>(&action)) {
            items.push_back(send->item);
        }
    }
    return items;
}

std::optional<QueryAnswer> answerIn(const ScatterGather::Actions &actions)
{
    for (const auto &action : actions) {
        if (const auto *finish = std::get_if<ScatterGather::Finish>(&action)) {
            return finish->answer;
        }
    }
    return std::nullopt;
}

} // namespace

TEST_CASE("Late, mismatched and duplicate replies add the records of each shard only once",
          "[request]")
{
    constexpr unsigned seeds = 200;
    for (unsigned seed = 0; seed < seeds; ++seed) {
        CAPTURE(seed);
        std::mt19937 random(seed);
        tests::ScatterGatherFixture scatter;
        ScatterGather gather(tests::makePlan(5, deadline), scatter.environment);
        std::vector<Subreply> replies;
        for (const SubrequestItem &item : sentItems(gather.start(startTime))) {
            const Subreply reply = replyTo(item, "[\"" + item.shard + "\"]");
            replies.push_back(reply);
            replies.push_back(reply);
            Subreply mismatched = reply;
            mismatched.requestId = "another";
            replies.push_back(mismatched);
            Subreply wrongShard = reply;
            wrongShard.shard = "s9";
            replies.push_back(wrongShard);
        }
        std::shuffle(replies.begin(), replies.end(), random);
        std::optional<QueryAnswer> answer;
        for (const Subreply &reply : replies) {
            if (auto found = answerIn(gather.onSubreply(reply, startTime))) {
                REQUIRE_FALSE(answer);
                answer = found;
            }
        }
        REQUIRE(answer);
        CHECK(answer->coverage == 1.0);
        const std::vector<std::string> expected {"[\"s0\"]", "[\"s1\"]", "[\"s2\"]", "[\"s3\"]",
                                                 "[\"s4\"]"};
        CHECK(answer->recordArrays == expected);
    }
}

TEST_CASE("A reply of another version or with a truncated body is discarded", "[request]")
{
    tests::ScatterGatherFixture scatter;
    ScatterGather gather(tests::makePlan(1, deadline), scatter.environment);
    const auto items = sentItems(gather.start(startTime));
    Subreply otherVersion = replyTo(items.front(), "[1]");
    otherVersion.version = 6;
    CHECK(gather.onSubreply(otherVersion, startTime).empty());
    CHECK(gather.onSubreply(replyTo(items.front(), "[1,2"), startTime).empty());
    CHECK(gather.discardedReplies() == 2);
    CHECK_FALSE(gather.isFinished());
}

TEST_CASE("The answer at the deadline names the missing shards and states the coverage",
          "[request]")
{
    tests::ScatterGatherFixture scatter;
    ScatterGather gather(tests::makePlan(4, deadline), scatter.environment);
    const auto items = sentItems(gather.start(startTime));
    gather.onSubreply(replyTo(items[0], "[]"), startTime);
    gather.onSubreply(replyTo(items[2], "[]"), startTime);
    const auto answer = answerIn(gather.onTimer(deadline));
    REQUIRE(answer);
    CHECK(answer->coverage == 0.5);
    CHECK(answer->missingShards == std::vector<ShardName> {"s1", "s3"});
    CHECK(answer->outcome.code == ResultCode::PartialCoverage);
}

TEST_CASE(
    "Retries count against the retry budget, except a failover in the first round after a refusal",
    "[request]")
{
    tests::ScatterGatherFixture scatter;
    ScatterGather gather(tests::makePlan(1, deadline), scatter.environment);
    const auto first = sentItems(gather.start(startTime)).front();
    Subreply refused = replyTo(first, "");
    refused.code = ResultCode::NotRunOverloaded;
    const auto second = sentItems(gather.onSubreply(refused, startTime));
    REQUIRE(second.size() == 1);
    CHECK(second.front().backendServer != first.backendServer);
    CHECK(scatter.policy.retryBudget().acquired() == 0);
    Subreply failed = replyTo(second.front(), "");
    failed.code = ResultCode::BackendFailed;
    CHECK(sentItems(gather.onSubreply(failed, startTime)).empty());
    REQUIRE(gather.nextTimer() < deadline);
    CHECK(sentItems(gather.onTimer(gather.nextTimer())).size() == 1);
    CHECK(scatter.policy.retryBudget().acquired() == 1);
}

TEST_CASE("An answer says 'not run' only if no shard may have run", "[request]")
{
    for (const bool isChecked : {false, true}) {
        tests::ScatterGatherFixture scatter;
        scatter.environment.checks.trueNotRun = isChecked;
        QueryPlan plan = tests::makePlan(2, deadline);
        plan.isIdempotent = false;
        plan.coverageFirst = true;
        ScatterGather gather(plan, scatter.environment);
        const auto items = sentItems(gather.start(startTime));
        gather.onSubreply(replyTo(items[0], "[1]"), startTime);
        Subreply refused = replyTo(items[1], "");
        refused.code = ResultCode::NotRunOverloaded;
        const auto retried = sentItems(gather.onSubreply(refused, startTime));
        REQUIRE(retried.size() == 1);
        Subreply refusedRetry = replyTo(retried.front(), "");
        refusedRetry.code = ResultCode::NotRunOverloaded;
        gather.onSubreply(refusedRetry, startTime);
        const auto answer = answerIn(gather.onTimer(deadline));
        REQUIRE(answer);
        CHECK(promisesNotRun(answer->outcome.code) == !isChecked);
        CHECK(answer->recordArrays.empty());
        CHECK(answer->coverage == 0);
        CHECK(answer->missingShards.size() == 2);
    }
}

TEST_CASE("A time-first query is answered before the deadline by its answer margin", "[request]")
{
    tests::ScatterGatherFixture scatter;
    QueryPlan plan = tests::makePlan(2, deadline);
    plan.answerMargin = std::chrono::milliseconds(7);
    ScatterGather gather(plan, scatter.environment);
    const auto items = sentItems(gather.start(startTime));
    gather.onSubreply(replyTo(items[0], "[]"), startTime);
    CHECK(gather.nextTimer() == deadline - std::chrono::milliseconds(7));
    const auto answer = answerIn(gather.onTimer(gather.nextTimer()));
    REQUIRE(answer);
    CHECK(answer->outcome.code == ResultCode::PartialCoverage);
    CHECK(answer->coverage == 0.5);
}

TEST_CASE("A shard without an owner is retried until the deadline and outside the retry budget",
          "[request]")
{
    tests::ScatterGatherFixture scatter;
    ScatterGather gather(tests::makePlan(1, deadline), scatter.environment);
    SubrequestItem item = sentItems(gather.start(startTime)).front();
    SteadyTime now = startTime;
    constexpr int refusals = 20;
    for (int refusal = 0; refusal < refusals; ++refusal) {
        Subreply reply = replyTo(item, "");
        reply.code = ResultCode::NotRunNotOwner;
        auto next = sentItems(gather.onSubreply(reply, now));
        while (next.empty()) {
            REQUIRE_FALSE(gather.isFinished());
            now = gather.nextTimer();
            REQUIRE(now < deadline);
            next = sentItems(gather.onTimer(now));
        }
        item = next.front();
    }
    CHECK(scatter.policy.retryBudget().acquired() == 0);
    const auto answer = answerIn(gather.onSubreply(replyTo(item, "[1]"), now));
    REQUIRE(answer);
    CHECK(answer->coverage == 1.0);
}
