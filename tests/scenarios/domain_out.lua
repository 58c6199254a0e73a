-- A failure domain is taken out and brought back by operators under load: no new work three seconds
-- after acceptance, answers stay whole, no errors.
start{deployment = "deployments/path-20.json"}
load{rate = 40, seconds = 14}
wait(1)
local out = set("vm-1", {change = "take-domain-out", target = "a", reason = "power works", expectedRevision = 0, changeId = "out-1", author = "scenario"})
expect(out.httpStatus == 200, "taking out: " .. out.httpStatus .. " " .. tostring(out.reason))
wait(3)
local before = records().runsByDomain.a
wait(3)
expect(records().runsByDomain.a == before, "new work in a failure domain that is out")
local back = set("vm-2", {change = "bring-domain-back", target = "a", reason = "done", expectedRevision = 1, changeId = "back-1", author = "scenario"})
expect(back.httpStatus == 200, "bringing back: " .. back.httpStatus .. " " .. tostring(back.reason))
local report = finish()
expect(report.errors == 0, "errors: " .. report.errors)
expect(report.whole == report.count, "whole answers: " .. report.whole .. " of " .. report.count .. "; missed at " .. report.notWholeAt)
