#pragma once

#include "tests/support/TierWorld.h"

#include <string>
#include <vector>

/// Returns a GET request for `path`, which is sent to the VM with the index `vm`.
TierWorld::Request request(const std::string &path, std::size_t vm = 0);

/// Returns settings with which all VMs have `check` enabled or disabled.
TierWorld::Settings settingsWith(bool pimentoward::ForwarderChecks::*check, bool isOn);

/// Makes the shard servers answer requests with a random fault from `faults`. Each request is
/// affected with probability `share`.
void addFaults(TierWorld &world,
               const std::vector<pimentoward::standins::ShardServer::Fault> &faults, double share);
