#pragma once

#include "tests/support/TierWorld.h"

#include <string>
#include <vector>

/// A request that may be repeated, for `path` at the VM of that number.
TierWorld::Request request(const std::string &path, std::size_t vm = 0);

/// A world in which all VMs have one check of theirs on or off.
TierWorld::Settings settingsWith(bool pimentoward::ForwarderChecks::*check, bool isOn);

/// Meets each share of requests with a fault drawn from `faults`.
void addFaults(TierWorld &world,
               const std::vector<pimentoward::standins::ShardServer::Fault> &faults, double share);
