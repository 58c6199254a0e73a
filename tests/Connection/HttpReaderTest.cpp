#include "Pimentoward/Connection/HttpReader.h"

#include <catch2/catch.hpp>

#include <random>

using namespace pimentoward;

namespace {

constexpr std::size_t headLimit = 300;
constexpr std::size_t bodyLimit = 100;

/// Reads one message that arrives in pieces of `pieceBytes` bytes.
HttpReader::Progress readInPieces(HttpReader &reader, std::string_view bytes,
                                  std::size_t pieceBytes)
{
    auto progress = HttpReader::Progress::Unfinished;
    while (!bytes.empty() && progress == HttpReader::Progress::Unfinished) {
        std::size_t used = 0;
        progress = reader.read(bytes.substr(0, pieceBytes), used);
        bytes.remove_prefix(used);
    }
    return progress;
}

HttpReader::Progress readRequest(std::string_view bytes)
{
    HttpReader reader(HttpReader::Direction::Requests, {headLimit, bodyLimit});
    return readInPieces(reader, bytes, bytes.size());
}

} // namespace

TEST_CASE("A request is read in the same way in pieces of any size")
{
    const std::string bytes
        = "POST /a/b?c=d HTTP/1.1\r\nHost: h\r\nX-Empty:\r\nX-Last: two words\r\n"
          "Content-Length: 4\r\n\r\nbodyGET";
    for (std::size_t piece = 1; piece <= bytes.size(); ++piece) {
        HttpReader reader(HttpReader::Direction::Requests, {headLimit, bodyLimit});
        REQUIRE(readInPieces(reader, bytes, piece) == HttpReader::Progress::Finished);
        const HttpRequestMessage request = reader.takeRequest();
        CHECK(request.method == "POST");
        CHECK(request.target == "/a/b?c=d");
        CHECK(request.headers.value("host") == "h");
        CHECK(request.headers.has("X-Empty"));
        CHECK(request.headers.value("X-Last") == "two words");
        CHECK(request.body == "body");
        CHECK(request.keepsConnection);
    }
}

TEST_CASE("Pipelined requests are read one at a time")
{
    const std::string bytes = "GET /1 HTTP/1.1\r\n\r\nGET /2 HTTP/1.1\r\n\r\n";
    HttpReader reader(HttpReader::Direction::Requests, {});
    std::size_t used = 0;
    REQUIRE(reader.read(bytes, used) == HttpReader::Progress::Finished);
    CHECK(reader.takeRequest().target == "/1");
    CHECK_FALSE(reader.hasBegun());
    std::size_t more = 0;
    REQUIRE(reader.read(std::string_view(bytes).substr(used), more)
            == HttpReader::Progress::Finished);
    CHECK(reader.takeRequest().target == "/2");
}

TEST_CASE("Requests that two parsers might interpret differently are malformed")
{
    const auto malformed = HttpReader::Progress::Malformed;
    CHECK(readRequest("GET / HTTP/1.1\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n")
          == malformed);
    CHECK(readRequest("GET / HTTP/1.1\r\nContent-Length: 4\r\nContent-Length: 5\r\n\r\n")
          == malformed);
    CHECK(readRequest("GET / HTTP/1.1\r\nContent-Length : 4\r\n\r\n") == malformed);
    CHECK(readRequest("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n") == malformed);
    CHECK(readRequest("nonsense\r\n\r\n") == malformed);
}

TEST_CASE("The limits on the sizes of head and body are enforced, including for chunked bodies")
{
    CHECK(readRequest("GET / HTTP/1.1\r\nX: " + std::string(headLimit, 'a') + "\r\n\r\n")
          == HttpReader::Progress::HeadTooLong);
    CHECK(readRequest("POST / HTTP/1.1\r\nContent-Length: 101\r\n\r\n")
          == HttpReader::Progress::BodyTooLong);
    CHECK(readRequest("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n65\r\n"
                      + std::string(101, 'a') + "\r\n0\r\n\r\n")
          == HttpReader::Progress::BodyTooLong);
}

TEST_CASE("Interim replies are skipped and a reply to HEAD has no body")
{
    HttpReader reader(HttpReader::Direction::Replies, {});
    const std::string bytes = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 204 No Content\r\n\r\n";
    std::size_t used = 0;
    REQUIRE(reader.read(bytes, used) == HttpReader::Progress::Finished);
    CHECK(reader.takeReply().status == 204);
    reader.expectReplyTo("HEAD");
    REQUIRE(reader.read("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n", used)
            == HttpReader::Progress::Finished);
    CHECK(reader.takeReply().body.empty());
}

// Guards against fields of one message that appear in the next message of its connection.
TEST_CASE("A message is read in the same way alone and behind any other message")
{
    const std::vector<std::string> replies = {
        "HTTP/1.1 200 OK\r\nX-Stamp: 1\r\nContent-Length: 2\r\n\r\nab",
        "HTTP/1.1 200 OK\r\nX-Stamp: 2\r\nTransfer-Encoding: chunked\r\n\r\n2\r\ncd\r\n0\r\n\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nef\r\n0\r\nX-Stamp: 3\r\n\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nX-Stamp:\r\nX-Last: 4\r\n\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nContent-Length: 5\r\n\r\n",
        "HTTP/1.1 103 Early Hints\r\nX-Stamp: 6\r\n\r\nHTTP/1.1 204 No Content\r\n\r\n",
        "HTTP/1.1 200 OK\r\n\r\n"};
    // The last reply has no length, so only the end of its connection completes it.
    const std::size_t before = GENERATE(range<std::size_t>(0, 6));
    const std::size_t index = GENERATE(range<std::size_t>(0, 7));
    const std::size_t piece = GENERATE(1, 7, 1000);
    const auto readLast = [&](HttpReader &reader) {
        if (readInPieces(reader, replies[index], piece) == HttpReader::Progress::Unfinished) {
            CHECK(reader.readEnd() == HttpReader::Progress::Finished);
        }
        return reader.takeReply();
    };
    HttpReader alone(HttpReader::Direction::Replies, {});
    const HttpReplyMessage expected = readLast(alone);
    HttpReader behind(HttpReader::Direction::Replies, {});
    REQUIRE(readInPieces(behind, replies[before], piece) == HttpReader::Progress::Finished);
    behind.takeReply();
    const HttpReplyMessage reply = readLast(behind);
    CHECK(reply.status == expected.status);
    CHECK(reply.body == expected.body);
    CHECK(serialize(reply, "GET") == serialize(expected, "GET"));
}

TEST_CASE("Trailer fields of a request or reply are dropped, within the limit of the head")
{
    const std::string chunks = "2\r\nab\r\n0\r\nX-Stamp: 1\r\n\r\n";
    const std::string bytes = "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks
        + "GET /next HTTP/1.1\r\n\r\n";
    HttpReader reader(HttpReader::Direction::Requests, {headLimit, bodyLimit});
    std::size_t used = 0;
    REQUIRE(reader.read(bytes, used) == HttpReader::Progress::Finished);
    CHECK_FALSE(reader.takeRequest().headers.has("X-Stamp"));
    std::size_t more = 0;
    REQUIRE(reader.read(std::string_view(bytes).substr(used), more)
            == HttpReader::Progress::Finished);
    const HttpRequestMessage next = reader.takeRequest();
    CHECK(next.target == "/next");
    CHECK_FALSE(next.headers.has("X-Stamp"));
    CHECK(readRequest("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nX: "
                      + std::string(headLimit, 'a') + "\r\n\r\n")
          == HttpReader::Progress::HeadTooLong);
}

TEST_CASE("Mutated messages are read or rejected without using more bytes than were passed")
{
    const std::vector<std::string> seeds = {
        "POST /a/ HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody",
        "GET /a/ HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nConnection: close\r\n\r\nbody",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n"};
    std::mt19937 random(1);
    constexpr int inputs = 100'000;
    for (int input = 0; input < inputs; ++input) {
        std::string bytes = seeds[random() % seeds.size()];
        for (unsigned change = random() % 4; change > 0; --change) {
            bytes[random() % bytes.size()] = static_cast<char>(random());
        }
        const auto direction
            = random() % 2 == 0 ? HttpReader::Direction::Requests : HttpReader::Direction::Replies;
        HttpReader reader(direction, {headLimit, bodyLimit});
        std::size_t used = 0;
        const auto progress = reader.read(bytes, used);
        REQUIRE(used <= bytes.size());
        if (progress == HttpReader::Progress::Finished) {
            const std::string body = direction == HttpReader::Direction::Requests
                ? reader.takeRequest().body
                : reader.takeReply().body;
            REQUIRE(body.size() <= bodyLimit);
        }
    }
}

// Guards against a reply that breaks off and reaches the caller as a whole one.
TEST_CASE("A reply that ends before its last byte is never whole")
{
    const auto [bytes, method] = GENERATE(
        std::make_pair(
            std::string("HTTP/1.1 200 OK\r\nX-Stamp: 1\r\nContent-Length: 4\r\n\r\nabcd"), "GET"),
        std::make_pair(
            std::string("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nX-Stamp: 1\r\n\r\n"
                        "2\r\nab\r\n2;x=y\r\ncd\r\n0\r\nX-Trailer: 1\r\n\r\n"),
            "GET"),
        std::make_pair(std::string("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n"
                                   "Connection: close\r\nContent-Length: 0\r\n\r\n"),
                       "GET"),
        std::make_pair(
            std::string("HTTP/1.0 200 OK\r\nX-Stamp: 1\r\nContent-Length: 4\r\n\r\nabcd"), "GET"),
        std::make_pair(std::string("HTTP/1.1 200 OK\r\nX-Stamp: 1\r\nContent-Length: 4\r\n\r\n"),
                       "HEAD"),
        std::make_pair(std::string("HTTP/1.1 204 No Content\r\nX-Stamp: 1\r\n\r\n"), "GET"));
    for (std::size_t length = 0; length <= bytes.size(); ++length) {
        CAPTURE(bytes.substr(0, length));
        HttpReader reader(HttpReader::Direction::Replies, {});
        reader.expectReplyTo(method);
        auto progress = readInPieces(reader, std::string_view(bytes).substr(0, length), 1000);
        if (progress == HttpReader::Progress::Unfinished) {
            progress = reader.readEnd();
        }
        CHECK((progress == HttpReader::Progress::Finished) == (length == bytes.size()));
    }
}

TEST_CASE("A reply without a length is whole at the end of its connection, but not within its head")
{
    const std::string bytes = "HTTP/1.1 200 OK\r\nX-Stamp: 1\r\nContent-Type: a/b\r\n\r\nabcd";
    const std::size_t headBytes = bytes.find("\r\n\r\n") + 4;
    for (std::size_t length = 0; length <= bytes.size(); ++length) {
        CAPTURE(bytes.substr(0, length));
        HttpReader reader(HttpReader::Direction::Replies, {});
        REQUIRE(readInPieces(reader, std::string_view(bytes).substr(0, length), 1000)
                == HttpReader::Progress::Unfinished);
        CHECK((reader.readEnd() == HttpReader::Progress::Finished) == (length >= headBytes));
    }
}
