#pragma once

#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>

#include <string>

namespace pimentoward {

/// Logging of the process: one logger per part, whose name is the fixed prefix of its lines.
class Log
{
public:
    /// Sets up logging to standard error. `level` is one of TRACE, DEBUG, INFO, WARN, ERROR, OFF.
    static void start(const std::string &level);
    /// Sets up structured lines on standard output that never wait for their reader.
    static void startStructured(const std::string &level);
    /// Changes the level of all parts; false where `level` is unknown.
    static bool changeLevel(const std::string &level);
    /// The logger of one part, for the LOG4CPLUS_* macros.
    static log4cplus::Logger part(const std::string &prefix);
};

} // namespace pimentoward
