-- The store does not answer for about ten seconds. Queries still get complete answers. An order is
-- refused as "not run" in the outage, and runs once with the same idempotency key after it.
start{deployment = "deployments/path-20.json"}
local body = {service = "coach-app", key = "child-000001", idempotencyKey = "print-1", deadlineMs = 1500}
load{rate = 40, seconds = 12}
wait(1)
store("silent")
local refused = order("vm-1", body)
expect(refused.code >= 300 and refused.code < 400, "code of the order in the outage: " .. refused.code)
wait(8)
store("up")
local report = finish()
expect(report.whole == report.count, "complete answers: " .. report.whole .. " of " .. report.count .. "; incomplete answers at " .. report.notWholeAt)
local accepted = order("vm-2", body)
for _ = 1, 20 do
    if accepted.code == 0 or accepted.code == 2 then break end
    wait(0.5)
    accepted = order("vm-2", body)
end
expect(accepted.code == 0 or accepted.code == 2, "code of the order after the outage: " .. accepted.code)
local repeated = order("vm-3", body)
expect(repeated.code == 2 or repeated.code == 404, "code of the repeated order: " .. repeated.code)
local backendRecords = records()
expect(#backendRecords.doubleRuns == 0, "an order ran twice for one idempotency key")
expect(next(backendRecords.runsByKey) ~= nil, "no order ran, so the check for double runs proves nothing")
