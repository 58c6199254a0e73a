-- Each VM in turn is drained, stopped and restarted under load. Every query gets a complete answer.
start{deployment = "deployments/path-20.json"}
load{rate = 40, seconds = 30}
wait(1)
for number = 1, 3 do
    local name = "vm-" .. number
    local status = drain(name)
    expect(status == 0, name .. " exited with status " .. status)
    restart(name)
    ready()
end
local report = finish()
expect(report.errors == 0, "queries with an error: " .. report.errors)
expect(report.whole == report.count, "complete answers: " .. report.whole .. " of " .. report.count .. "; incomplete answers at " .. report.notWholeAt)
expect(report.verdict.aboveSlots == 0, "runs above the slots of a backend server: " .. report.verdict.aboveSlots)
