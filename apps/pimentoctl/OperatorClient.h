#pragma once

#include "Pimentoward/Connection/HttpAnswer.h"
#include "Pimentoward/Connection/HttpCall.h"
#include "Pimentoward/Core/Address.h"
#include "Pimentoward/Core/Reason.h"

#include <nlohmann/json.hpp>

#include <optional>
#include <vector>

namespace pimentoctl {

/// Calls to the operator ports of VMs that wait for their answers.
class OperatorClient
{
public:
    OperatorClient(std::vector<pimentoward::Address> vms, std::chrono::milliseconds timeout);

    const std::vector<pimentoward::Address> &vms() const { return m_vms; }
    /// Sends one call to one VM. Fails as HttpConnection does.
    std::optional<pimentoward::HttpAnswer> call(const pimentoward::Address &vm,
                                                pimentoward::HttpCall call,
                                                pimentoward::Reason &reason) const;
    /// Sends one call to the first VM that can be reached and reads its JSON answer. Fails with
    /// the result code that the answer carries or that the call ended with.
    std::optional<nlohmann::json> ask(const pimentoward::HttpCall &call,
                                      pimentoward::Reason &reason) const;
    /// The state of one VM.
    std::optional<nlohmann::json> state(const pimentoward::Address &vm,
                                        pimentoward::Reason &reason) const;

private:
    std::vector<pimentoward::Address> m_vms;
    std::chrono::milliseconds m_timeout;
};

} // namespace pimentoctl
