-- A VM is killed. Once its backend servers have other owners, every answer under load is complete.
start{deployment = "deployments/path-20.json"}
kill("vm-3")
wait(7)
load{rate = 40, seconds = 4}
local report = finish()
expect(report.whole == report.count, "complete answers: " .. report.whole .. " of " .. report.count .. "; incomplete answers at " .. report.notWholeAt)
expect(report.verdict.aboveSlots == 0, "runs above the slots of a backend server: " .. report.verdict.aboveSlots)
