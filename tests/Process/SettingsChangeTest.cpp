#include "Pimentoward/Process/SettingsChange.h"

#include "Pimentoward/Process/OperatorSettings.h"
#include "Pimentoward/Process/SettingsHistory.h"

#include <catch2/catch.hpp>

using namespace pimentoward;

namespace {

SettingsChange makeChange(SettingsChangeKind kind, Revision expected)
{
    SettingsChange change;
    change.kind = kind;
    change.expectedRevision = expected;
    change.changeId = "change-" + std::to_string(expected);
    change.author = "operator";
    change.scope = ExceptionScope::OneFailureDomain;
    change.target = "a";
    change.setting = operator_settings::hedgeBudget;
    change.value = "7";
    change.reason = "trial";
    return change;
}

SettingsDocument apply(const SettingsDocument &document, const SettingsChange &change)
{
    Reason reason;
    const auto next = change.applyTo(document, WallTime(std::chrono::hours(1)), reason);
    INFO(reason.text);
    REQUIRE(next);
    return *next;
}

ResultCode refusal(const SettingsDocument &document, const SettingsChange &change)
{
    Reason reason;
    CHECK_FALSE(change.applyTo(document, {}, reason));
    CHECK_FALSE(reason.text.empty());
    return reason.code;
}

} // namespace

TEST_CASE("A change creates the next revision and does not modify the old one", "[settings]")
{
    const SettingsDocument empty;
    const auto first = apply(empty, makeChange(SettingsChangeKind::SetDefault, 0));
    CHECK(empty.defaults.empty());
    CHECK(first.revision == 1);
    CHECK(first.contains("change-0"));
    CHECK(first.value(operator_settings::hedgeBudget) == "7");
    const auto second = apply(first, makeChange(SettingsChangeKind::UnsetDefault, 1));
    CHECK(second.value(operator_settings::hedgeBudget) == "5");
    CHECK(refusal(second, makeChange(SettingsChangeKind::UnsetDefault, 2))
          == ResultCode::InvalidSetting);
    CHECK(refusal(second, makeChange(SettingsChangeKind::SetDefault, 1))
          == ResultCode::RevisionConflict);
}

TEST_CASE("An exception needs a reason and replaces an earlier one, and their number is limited",
          "[settings]")
{
    auto document = apply({}, makeChange(SettingsChangeKind::AddException, 0));
    CHECK(document.value(operator_settings::hedgeBudget, {}, "a") == "7");
    auto change = makeChange(SettingsChangeKind::AddException, 1);
    change.value = "9";
    document = apply(document, change);
    CHECK(document.exceptions.size() == 1);
    change = makeChange(SettingsChangeKind::AddException, 2);
    change.reason.clear();
    CHECK(refusal(document, change) == ResultCode::InvalidSetting);
    while (document.exceptions.size() < SettingsDocument::maxExceptions) {
        change = makeChange(SettingsChangeKind::AddException, document.revision);
        change.target = "service-" + std::to_string(document.revision);
        document = apply(document, change);
    }
    change = makeChange(SettingsChangeKind::AddException, document.revision);
    change.target = "one-more";
    CHECK(refusal(document, change) == ResultCode::InvalidSetting);
    CHECK(document.recentChanges.size() == SettingsDocument::maxRecentChanges);
    document = apply(document, makeChange(SettingsChangeKind::RemoveException, document.revision));
    CHECK(document.value(operator_settings::hedgeBudget, {}, "a") == "5");
}

TEST_CASE("A failure domain is taken out of service and brought back", "[settings]")
{
    const auto out = apply({}, makeChange(SettingsChangeKind::TakeDomainOut, 0));
    CHECK(out.isOutOfService("a"));
    CHECK_FALSE(out.isOutOfService("b"));
    const auto back = apply(out, makeChange(SettingsChangeKind::BringDomainBack, 1));
    CHECK_FALSE(back.isOutOfService("a"));
    CHECK(refusal(back, makeChange(SettingsChangeKind::BringDomainBack, 2))
          == ResultCode::InvalidSetting);
    const auto differences = SettingsDifference::between(out, back);
    REQUIRE(differences.size() == 1);
    CHECK(differences[0].toText() == "failure-domain a out-of-service: true -> (not set) (trial)");
}

TEST_CASE("Documents and changes are unchanged after they are written and parsed", "[settings]")
{
    Reason reason;
    const auto document = apply({}, makeChange(SettingsChangeKind::TakeDomainOut, 0));
    const auto parsed = SettingsDocument::parse(document.toJson(), reason);
    REQUIRE(parsed);
    CHECK(parsed->toJson() == document.toJson());
    const auto change = makeChange(SettingsChangeKind::AddException, 3);
    const auto read = SettingsChange::parse(change.toJson(), reason);
    REQUIRE(read);
    CHECK(read->toJson() == change.toJson());
}

TEST_CASE("The history stays within its size limit and reports differences", "[settings]")
{
    SettingsHistory history;
    SettingsDocument document;
    constexpr Revision changes = 5000;
    for (Revision revision = 0; revision < changes; ++revision) {
        auto change = makeChange(SettingsChangeKind::SetDefault, revision);
        change.value = std::to_string(revision % 100);
        change.reason = std::string(200, 'r');
        document = apply(document, change);
        // Only every fourth document reaches the history; its recent records replace those of the
        // writes that were lost.
        if (document.revision % SettingsDocument::maxRecentChanges == 0) {
            CHECK(history.add(document.recentChanges));
        }
    }
    Reason reason;
    CHECK(history.records().size() == changes);
    const auto stored = SettingsHistory::parse(history.toJson(), reason);
    REQUIRE(stored);
    CHECK(history.toJson().size() <= SettingsHistory::maxTextBytes);
    CHECK(stored->records().size() > 1000);
    CHECK(stored->records().back().revision == changes);
    const auto difference = stored->difference(changes - 50, changes, reason);
    REQUIRE(difference);
    REQUIRE(difference->size() == 1);
    CHECK(difference->front().toText() == "default hedge-budget-percent: 49 -> 99");
    CHECK_FALSE(stored->difference(0, changes, reason));
    CHECK_FALSE(stored->difference(changes, changes - 1, reason));
}
