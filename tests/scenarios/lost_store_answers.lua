-- The writes of claims take effect while the store's answers to them are lost. No order runs twice
-- for one idempotency key, and an order that was refused as "not run" did not run.
start{deployment = "deployments/path-20.json"}
store("lose-answers")
local refused = {}
for number = 1, 5 do
    local key = "order-" .. number
    local answer = order("vm-1", {service = "coach-app", key = "child-00000" .. number, idempotencyKey = key,
                                  deadlineMs = 700})
    if answer.code >= 300 and answer.code < 400 then refused[#refused + 1] = key end
end
local runs = records().runsByKey
for _, key in ipairs(refused) do
    expect(runs[key] == nil, key .. " ran although it was refused")
end
store("up")
for number = 1, 5 do
    for vm = 1, 3 do
        order("vm-" .. vm, {service = "coach-app", key = "child-00000" .. number, idempotencyKey = "order-" .. number,
                            deadlineMs = 1500})
    end
end
local backendRecords = records()
expect(#backendRecords.doubleRuns == 0, "an order ran twice for one idempotency key")
expect(next(backendRecords.runsByKey) ~= nil, "no order ran, so the check for double runs proves nothing")
