#pragma once

#include "Pimentoward/Core/ResultCode.h"

#include <string>

namespace pimentoward {

/// Why an operation that returns std::optional gave nothing: a code and one sentence.
struct Reason
{
    ResultCode code = ResultCode::Ok;
    std::string text;
};

} // namespace pimentoward
