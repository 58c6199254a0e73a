#include "Pimentoward/Core/Log.h"

#include "Pimentoward/Core/BoundedAppender.h"

#include <log4cplus/config.hxx>
#include <log4cplus/consoleappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>

#include <cstdlib>
#include <iostream>
#include <memory>

namespace pimentoward {

namespace {

void setRootAppender(const log4cplus::SharedAppenderPtr &appender, const std::string &pattern)
{
    appender->setLayout(std::make_unique<log4cplus::PatternLayout>(pattern));
    log4cplus::Logger root = log4cplus::Logger::getRoot();
    root.removeAllAppenders();
    root.addAppender(appender);
}

void initializeOnce()
{
    static log4cplus::Initializer initializer;
    // Lines are written by the threads that log them; the library's own threads stay idle.
    constexpr std::size_t libraryThreads = 1;
    log4cplus::setThreadPoolSize(libraryThreads);
}

} // namespace

void Log::start(const std::string &level)
{
    initializeOnce();
    constexpr bool toStandardError = true;
    constexpr bool flushEachLine = true;
    log4cplus::SharedAppenderPtr appender(
        new log4cplus::ConsoleAppender(toStandardError, flushEachLine));
    setRootAppender(appender, "%D{%Y-%m-%dT%H:%M:%S.%q} %-5p [%c] %m%n");
    changeLevel(level);
}

void Log::startStructured(const std::string &level)
{
    initializeOnce();
    const log4cplus::SharedAppenderPtr appender(new BoundedAppender(BoundedAppender::Settings()));
    setRootAppender(appender, "time=%D{%Y-%m-%dT%H:%M:%S.%q} level=%p part=%c %m%n");
    changeLevel(level);
}

bool Log::changeLevel(const std::string &level)
{
    const auto value = log4cplus::getLogLevelManager().fromString(level);
    if (value == log4cplus::NOT_SET_LOG_LEVEL) {
        return false;
    }
    log4cplus::Logger::getRoot().setLogLevel(value);
    return true;
}

void Log::exitProcess(int exitCode)
{
    std::cout.flush();
    std::cerr.flush();
    std::_Exit(exitCode);
}

log4cplus::Logger Log::part(const std::string &name)
{
    return log4cplus::Logger::getInstance(name);
}

} // namespace pimentoward
