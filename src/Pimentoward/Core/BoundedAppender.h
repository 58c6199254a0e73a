#pragma once

#include "Pimentoward/Core/CallPacer.h"

#include <log4cplus/appender.h>

#include <cstdint>

namespace pimentoward {

/// Writes log lines to a file descriptor without ever waiting for its reader: a line that does not
/// fit, or comes faster than the rate, is dropped and counted; the next line written tells how
/// many.
class BoundedAppender final : public log4cplus::Appender
{
public:
    struct Settings
    {
        int descriptor = 1;
        /// Lines a second in the long run, and at once.
        double linesPerSecond = 400;
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
