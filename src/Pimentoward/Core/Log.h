#pragma once

#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>

#include <string>

namespace pimentoward {

/// Logging of the process. Each part of the program has its own logger, whose name is written in
/// each of its lines.
class Log
{
public:
    /// Starts logging to standard error. `level` is one of TRACE, DEBUG, INFO, WARN, ERROR, OFF.
    static void start(const std::string &level);
    /// Starts logging structured lines to standard output. Writing never blocks.
    static void startStructured(const std::string &level);
    /// Changes the level of all parts. Returns false if `level` is unknown.
    static bool changeLevel(const std::string &level);
    /// Ends the process without destroying its static objects. The destructors of the log library
    /// wait for threads of the library, which can outlast the time that a planned stop has.
    [[noreturn]] static void exitProcess(int exitCode);
    /// Returns the logger of one part, for the LOG4CPLUS_* macros.
    static log4cplus::Logger part(const std::string &name);
};

} // namespace pimentoward
