#pragma once

#include "Pimentoward/Core/CallPacer.h"

#include <log4cplus/appender.h>

#include <cstdint>

namespace pimentoward {

/// Writes log lines to a file descriptor and never blocks. Control characters in a line and bytes
/// that are no UTF-8 are written as %XX. A line is dropped and counted if the
/// descriptor is not writable or if lines exceed the allowed rate. The next line that is written
/// states how many were dropped.
class BoundedAppender final : public log4cplus::Appender
{
public:
    struct Settings
    {
        /// File descriptor to write to; 1 is standard output.
        int descriptor = 1;
        /// Maximum number of lines per second on average.
        double linesPerSecond = 400;
        /// Maximum number of lines in one burst.
        double burst = 800;
    };

    explicit BoundedAppender(const Settings &settings);
    ~BoundedAppender() override;

    void close() override;

protected:
    void append(const log4cplus::spi::InternalLoggingEvent &event) override;

private:
    bool canWrite() const;

    Settings m_settings;
    CallPacer m_pacer;
    std::uint64_t m_dropped = 0;
};

} // namespace pimentoward
