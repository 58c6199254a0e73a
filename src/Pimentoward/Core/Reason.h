#pragma once

#include "Pimentoward/Core/ResultCode.h"

#include <string>

namespace pimentoward {

/// Explains why an operation failed or returned nothing: a code and one sentence.
struct Reason
{
    ResultCode code = ResultCode::Ok;
    std::string text;
};

} // namespace pimentoward
