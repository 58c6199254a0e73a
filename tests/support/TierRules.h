#pragma once

#include "tests/support/TierFixture.h"

#include <string>
#include <vector>

/// Returns a GET request for `path`, which is sent to the VM with the index `vm`.
TierFixture::Request request(const std::string &path, std::size_t vm = 0);

/// Returns settings with which all VMs have `check` enabled or disabled.
TierFixture::Settings settingsWith(bool pimentoward::ForwarderChecks::*check, bool isOn);

/// Makes the shard servers answer requests with a random fault from `faults`. Each request is
/// affected with probability `share`.
void addFaults(TierFixture &fixture,
               const std::vector<pimentoward::standins::ShardServer::Fault> &faults, double share);
