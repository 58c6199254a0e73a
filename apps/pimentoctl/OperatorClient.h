#pragma once

#include "Pimentoward/Connection/HttpAnswer.h"
#include "Pimentoward/Connection/HttpCall.h"
#include "Pimentoward/Core/Address.h"
#include "Pimentoward/Core/Reason.h"

#include <nlohmann/json.hpp>

#include <optional>
#include <vector>

namespace pimentoctl {

/// Sends HTTP calls to the operator ports of VMs. Each call blocks until the answer or the timeout.
class OperatorClient
{
public:
    OperatorClient(std::vector<pimentoward::Address> vms, std::chrono::milliseconds timeout);

    /// Addresses of the operator ports.
    const std::vector<pimentoward::Address> &vms() const { return m_vms; }
    /// Sends one call to one VM. Fails with the result codes of HttpConnection::DoneHook.
    std::optional<pimentoward::HttpAnswer> call(const pimentoward::Address &vm,
                                                pimentoward::HttpCall call,
                                                pimentoward::Reason &reason) const;
    /// Sends one call to the first VM that can be reached and parses its JSON answer. Fails with
    /// the result code in the answer, or with that of the call if there is no answer.
    std::optional<nlohmann::json> callFirstReachable(const pimentoward::HttpCall &call,
                                                     pimentoward::Reason &reason) const;
    /// Reads the state of one VM.
    std::optional<nlohmann::json> state(const pimentoward::Address &vm,
                                        pimentoward::Reason &reason) const;

private:
    std::vector<pimentoward::Address> m_vms;
    std::chrono::milliseconds m_timeout;
};

} // namespace pimentoctl
