-- An operator takes a failure domain out of service under load and brings it back. The domain gets
-- no new work later than 3 s after the change was accepted. All answers are complete, without errors.
start{deployment = "deployments/path-20.json"}
load{rate = 40, seconds = 14}
wait(1)
local takenOut = set("vm-1", {change = "take-domain-out", target = "a", reason = "power supply maintenance", expectedRevision = 0, changeId = "out-1", author = "scenario"})
expect(takenOut.httpStatus == 200, "take-domain-out: HTTP status " .. takenOut.httpStatus .. " " .. tostring(takenOut.reason))
wait(3)
local runsBefore = records().runsByDomain.a
wait(3)
expect(records().runsByDomain.a == runsBefore, "new work in a failure domain that is out of service")
local broughtBack = set("vm-2", {change = "bring-domain-back", target = "a", reason = "done", expectedRevision = 1, changeId = "back-1", author = "scenario"})
expect(broughtBack.httpStatus == 200, "bring-domain-back: HTTP status " .. broughtBack.httpStatus .. " " .. tostring(broughtBack.reason))
local report = finish()
expect(report.errors == 0, "queries with an error: " .. report.errors)
expect(report.whole == report.count, "complete answers: " .. report.whole .. " of " .. report.count .. "; incomplete answers at " .. report.notWholeAt)
