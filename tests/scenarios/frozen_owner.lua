-- An owner freezes at full load, the others take over, and it wakes again: no backend server gets
-- more than its slots, and coverage is never overstated.
start{deployment = "deployments/path-20.json"}
load{rate = 40, seconds = 14}
wait(2)
freeze("vm-2")
wait(6)
resume("vm-2")
local report = finish()
expect(report.verdict.aboveSlots == 0, "work above the slots: " .. report.verdict.aboveSlots)
expect(report.verdict.falseCoverage == 0, "overstated coverage: " .. report.verdict.falseCoverage)
expect(report.verdict.falseNotRun == 0, "false 'not run': " .. report.verdict.falseNotRun)
expect(report.whole > report.count / 2, "whole answers: " .. report.whole .. " of " .. report.count)
