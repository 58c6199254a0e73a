#pragma once

namespace pimentoward {

/// Version of the library and of all programs.
inline constexpr const char *projectVersion = "0.1.0";

} // namespace pimentoward
