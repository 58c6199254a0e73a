-- An owner freezes under load, the other VMs take over its backend servers, and it resumes. No
-- backend server gets more work than it has slots, and no answer states more coverage than it has.
start{deployment = "deployments/path-20.json"}
load{rate = 40, seconds = 14}
wait(2)
freeze("vm-2")
wait(6)
resume("vm-2")
local report = finish()
expect(report.verdict.aboveSlots == 0, "runs above the slots of a backend server: " .. report.verdict.aboveSlots)
expect(report.verdict.falseCoverage == 0, "answers with overstated coverage: " .. report.verdict.falseCoverage)
expect(report.verdict.falseNotRun == 0, "answers with a false 'not run': " .. report.verdict.falseNotRun)
expect(report.whole > report.count / 2, "complete answers: " .. report.whole .. " of " .. report.count)
