#include "Pimentoward/Core/PlainText.h"

#include "Pimentoward/Core/BoundedAppender.h"
#include "Pimentoward/Core/Log.h"
#include "Pimentoward/Process/Metrics.h"

#include <catch2/catch.hpp>
#include <log4cplus/layout.h>
#include <log4cplus/spi/loggingevent.h>
#include <unistd.h>

#include <array>

using namespace pimentoward;

namespace {

/// The bytes that the appender writes for one line with this text.
std::string writtenLine(const std::string &text)
{
    std::array<int, 2> pipeEnds {};
    REQUIRE(pipe(pipeEnds.data()) == 0);
    BoundedAppender::Settings settings;
    settings.descriptor = pipeEnds[1];
    log4cplus::SharedAppenderPtr appender(new BoundedAppender(settings));
    appender->setLayout(std::make_unique<log4cplus::PatternLayout>("%m%n"));
    appender->doAppend({"test", log4cplus::WARN_LOG_LEVEL, text, __FILE__, __LINE__});
    std::array<char, 8192> bytes {};
    const ssize_t count = read(pipeEnds[0], bytes.data(), bytes.size());
    close(pipeEnds[0]);
    close(pipeEnds[1]);
    return {bytes.data(), static_cast<std::size_t>(std::max<ssize_t>(count, 0))};
}

} // namespace

TEST_CASE("Only visible ASCII is plain, and only UTF-8 without control characters is clean")
{
    CHECK(isPlainText("i-7f3a91c2"));
    CHECK(isCleanText("s\xc3\xbc"
                      "d \xf0\x9f\x98\x80"));
    for (const char *text : {"", "a b", "a\r\n",
                             "s\xc3\xbc"
                             "d"}) {
        CHECK_FALSE(isPlainText(text));
    }
    // A lone byte, an overlong form, half of a surrogate pair, a value above U+10FFFF, a cut form.
    for (const char *text :
         {"a\r\n", "\x7f", "\xff", "\xc0\xaf", "\xed\xa0\xbd", "\xf4\x90\x80\x80", "a\xe2\x82"}) {
        CHECK_FALSE(isCleanText(text));
        CHECK_FALSE(isPlainText(text));
        CHECK(isPlainText(logText(text)));
        CHECK(isCleanText(cleanText(text)));
    }
    CHECK(logText("a b\"c\n") == "a%20b%22c%0A");
    CHECK(logText(std::string(5000, 'x')).size() < 300);
}

TEST_CASE("Text of other writers begins no log line of its own")
{
    CHECK(writtenLine("id=x\r\nlevel=ERROR \xff") == "id=x%0D%0Alevel=ERROR %FF\n");
    CHECK(writtenLine("id=x") == "id=x\n");
}

TEST_CASE("Label values that are not UTF-8 or have control characters are escaped")
{
    Metrics metrics;
    metrics.counter("a_total", "A", {{"route", "x\r\xff\"\\"}}).add();
    CHECK(metrics.render().find("a_total{route=\"x%0D%FF\\\"\\\\\"} 1") != std::string::npos);
}
