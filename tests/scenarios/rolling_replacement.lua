-- Every VM is replaced in turn under load, by planned stops: no request is cut.
start{deployment = "deployments/path-20.json"}
load{rate = 40, seconds = 30}
wait(1)
for n = 1, 3 do
    local name = "vm-" .. n
    local status = drain(name)
    expect(status == 0, name .. " exited with " .. status)
    restart(name)
    ready()
end
local report = finish()
expect(report.errors == 0, "errors: " .. report.errors)
expect(report.whole == report.count, "whole answers: " .. report.whole .. " of " .. report.count .. "; missed at " .. report.notWholeAt)
expect(report.verdict.aboveSlots == 0, "work above the slots: " .. report.verdict.aboveSlots)
