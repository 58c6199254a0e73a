-- A VM is lost under load; once its backend servers have other owners every answer is whole.
start{deployment = "deployments/path-20.json"}
kill("vm-3")
wait(7)
load{rate = 40, seconds = 4}
local report = finish()
expect(report.whole == report.count, "whole answers: " .. report.whole .. " of " .. report.count .. "; missed at " .. report.notWholeAt)
expect(report.verdict.aboveSlots == 0, "work above the slots: " .. report.verdict.aboveSlots)
