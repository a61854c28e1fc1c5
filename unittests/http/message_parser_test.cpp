#include "peridotwheel/http/message_parser.h"

#include <algorithm>
#include <gtest/gtest.h>

using namespace peridotwheel;

namespace {

using parse_state = message_parser::parse_state;

/// Returns the parser's state after all of \p text, or at the end of the first message.
parse_state stateAfter(const std::string &text, message_limits limits = {})
{
    message_parser parser(message_parser::role::Request);
    parser.setLimits(limits);
    parser.feed(text.data(), text.size());
    return parser.state();
}

opaque_request requestIn(const std::string &text)
{
    message_parser parser(message_parser::role::Request);
    // Byte by byte, since a message may be split at any point.
    for (const char c : text)
        parser.feed(&c, 1);
    EXPECT_EQ(parser.state(), parse_state::Complete);
    return parser.takeRequest();
}

/// Returns the parser's state after \p text and an orderly close by the server.
parse_state replyState(const std::string &text)
{
    message_parser parser(message_parser::role::Reply);
    parser.feed(text.data(), text.size());
    parser.feedEnd();
    return parser.state();
}

const std::string head = "POST /p/?q=1 HTTP/1.1\r\nHost: a\r\n";

} // namespace

TEST(message_parser, readsARequestByteByByte)
{
    const auto r = requestIn(head + "X-Note: a b\r\nContent-Length: 5\r\n\r\nhello");
    EXPECT_EQ(r.method, "POST");
    EXPECT_EQ(r.target, "/p/?q=1");
    EXPECT_EQ(*r.header("x-note"), "a b");
    EXPECT_EQ(r.body, "hello");
    EXPECT_TRUE(r.keepAlive);
}

TEST(message_parser, readsChunkedBodies)
{
    const auto r =
            requestIn(head + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n");
    EXPECT_EQ(r.body, "abcde");
}

// Guards against parsing the body of a GET as the next request.
TEST(message_parser, readsTheBodyOfAGet)
{
    const auto r = requestIn("GET / HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nGET ");
    EXPECT_EQ(r.body, "GET ");
}

TEST(message_parser, stopsAtTheEndOfAMessage)
{
    message_parser parser(message_parser::role::Request);
    const std::string one = "GET /1 HTTP/1.1\r\nHost: a\r\n\r\n";
    const std::string both = one + "GET /2 HTTP/1.1\r\nHost: a\r\n\r\n";
    EXPECT_EQ(parser.feed(both.data(), both.size()), one.size());
    EXPECT_EQ(parser.takeRequest().target, "/1");
    parser.feed(both.data() + one.size(), both.size() - one.size());
    EXPECT_EQ(parser.takeRequest().target, "/2");
}

// Guards against request smuggling: if two implementations disagree on where a message ends, one of
// them overlooks a request within it.
TEST(message_parser, refusesAmbiguousLengths)
{
    for (const char *headers : {
                 "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n",
                 "Transfer-Encoding: chunked\r\nContent-Length: 4\r\n",
                 "Content-Length: 4\r\nContent-Length: 5\r\n",
                 "Content-Length: 4, 4\r\n",
                 "Content-Length: +4\r\n",
                 "Transfer-Encoding: xchunked\r\n",
                 "Transfer-Encoding: gzip, chunked\r\n",
                 "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
                 "Transfer-Encoding : chunked\r\n",
         }) {
        const auto state = stateAfter(head + headers + "\r\n0\r\n\r\n");
        EXPECT_EQ(state, parse_state::Malformed) << headers;
    }
}

TEST(message_parser, enforcesItsLimits)
{
    const message_limits limits{200, 10};
    EXPECT_EQ(stateAfter(head + "X: " + std::string(300, 'x') + "\r\n\r\n", limits),
              parse_state::HeaderTooLarge);
    EXPECT_EQ(stateAfter(head + "Content-Length: 11\r\n\r\n", limits), parse_state::BodyTooLarge);
    EXPECT_EQ(stateAfter(head + "Transfer-Encoding: chunked\r\n\r\nb\r\n01234567890\r\n", limits),
              parse_state::BodyTooLarge);
    EXPECT_EQ(stateAfter(head + "Content-Length: 10\r\n\r\n0123456789", limits),
              parse_state::Complete);
}

TEST(message_parser, completesAReplyWithoutLengthAtTheOrderlyEndOnly)
{
    message_parser parser(message_parser::role::Reply);
    const std::string text = "HTTP/1.1 200 OK\r\n\r\nbody";
    parser.feed(text.data(), text.size());
    EXPECT_EQ(parser.state(), parse_state::Incomplete);
    parser.feedEnd();
    EXPECT_EQ(parser.state(), parse_state::Complete);
    EXPECT_FALSE(parser.keepAlive());
    EXPECT_EQ(parser.takeReply().body, "body");
}

// Guards against taking a reply that ends before its Content-Length for a complete one.
TEST(message_parser, refusesAReplyThatEndsEarly)
{
    message_parser parser(message_parser::role::Reply);
    const std::string text = "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nbody";
    parser.feed(text.data(), text.size());
    parser.feedEnd();
    EXPECT_EQ(parser.state(), parse_state::Malformed);
}

TEST(message_parser, expectsNoBodyAfterHead)
{
    message_parser parser(message_parser::role::Reply);
    parser.expectNoBody(true);
    const std::string text = "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n";
    parser.feed(text.data(), text.size());
    EXPECT_EQ(parser.state(), parse_state::Complete);
}

// A status below 100 was taken for that of an interim reply: the exchange went on to wait for a
// reply that did not come.
TEST(message_parser, refusesAStatusBelowOneHundred)
{
    for (const char *status : {"000", "000 OK", "0 OK", "2 OK", "20 OK", "099 OK"}) {
        const std::string rest = std::string(status) + "\r\nContent-Length: 4\r\n\r\nbody";
        EXPECT_EQ(replyState("HTTP/1.1 " + rest), parse_state::Malformed) << status;
    }
    for (const char *status : {"100", "200", "200 OK", "503 ", "599 Other", "999 Other"}) {
        const std::string rest = std::string(status) + "\r\nContent-Length: 0\r\n\r\n";
        EXPECT_EQ(replyState("HTTP/1.1 " + rest), parse_state::Complete) << status;
    }
}

/// Sets of header lines that are no valid head. Each begins after a valid line.
std::vector<std::string> invalidHeaderLines()
{
    return {
            // Blanks in a name, or before it, where they would continue the line before.
            "Content Length: 4",
            "Content-Length : 4",
            "Content-Length\t: 4",
            " Content-Length: 4",
            "\tContent-Length: 4",
            " Transfer-Encoding: chunked",
            " folded",
            // Control bytes and bytes that are no ASCII.
            "\rName: 1",
            "\r",
            "Na\rme: 1",
            "Name\r: 1",
            "\nName: 1",
            std::string("Na\0me: 1", 8),
            "\x01Name: 1",
            "Na\x0bme: 1",
            "Name\x1f: 1",
            "Na\x7fme: 1",
            "Na\x80me: 1",
            // Characters that no name has, no name, and no colon.
            "Na(me: 1",
            "Na\"me: 1",
            "Na@me: 1",
            ": 1",
            "Name",
            // Values that would end the line elsewhere for another reader.
            "Name: 1\r2",
            std::string("Name: 1\0002", 9),
    };
}

// A line that starts with a blank was appended to the value of the line before, which hid the
// length or the encoding of the body. A carriage return before a name ended the head, and the rest
// of the line became the start of the body. Both replies passed as complete.
TEST(message_parser, refusesRepliesWithInvalidHeaderLines)
{
    for (const std::string &line : invalidHeaderLines()) {
        for (const char *length : {"", "Content-Length: 4\r\n"}) {
            const std::string text =
                    std::string("HTTP/1.1 200 OK\r\nSeal: s\r\n") + length + line + "\r\n\r\nbody";
            EXPECT_EQ(replyState(text), parse_state::Malformed) << text;
            // The end of a line may be the end of a piece.
            message_parser parser(message_parser::role::Reply);
            for (const char c : text)
                parser.feed(&c, 1);
            EXPECT_EQ(parser.state(), parse_state::Malformed) << text;
        }
    }
}

TEST(message_parser, refusesRequestsWithInvalidHeaderLines)
{
    for (const std::string &line : invalidHeaderLines()) {
        const std::string text = head + line + "\r\nContent-Length: 4\r\n\r\nbody";
        EXPECT_EQ(stateAfter(text), parse_state::Malformed) << text;
    }
}

TEST(message_parser, refusesInvalidStatusLines)
{
    for (const char *line : {"HTTP/1.1 0200 OK", "HTTP/1.1  200 OK", "HTTP/1.1\t200 OK",
                             "HTTP/2.0 200 OK", "HTTP/9.9 200 OK", "HTTP/1.1 200\rOK",
                             "HTTP/1.1 200 O\rK", " HTTP/1.1 200 OK", "HTTP/1.1 200OK"}) {
        const std::string text = std::string(line) + "\r\nContent-Length: 4\r\n\r\nbody";
        EXPECT_EQ(replyState(text), parse_state::Malformed) << text;
    }
    for (const char *line : {"HTTP/1.1 200", "HTTP/1.0 200 OK", "\r\nHTTP/1.1 200 OK"}) {
        const std::string text = std::string(line) + "\r\nContent-Length: 4\r\n\r\nbody";
        EXPECT_EQ(replyState(text), parse_state::Complete) << text;
    }
    // A sender may end all lines without carriage returns.
    EXPECT_EQ(replyState("HTTP/1.1 200 OK\nContent-Length: 4\n\nbody"), parse_state::Complete);
}

// The two bytes after a chunk were skipped whatever they were, and so was the byte after the
// carriage return of a chunk's length.
TEST(message_parser, refusesChunksWithoutTheirLineEnds)
{
    const std::string start = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    const std::string whole = "4\r\nbody\r\n2;x=y\r\n\r\n\r\n0\r\n\r\n";
    EXPECT_EQ(replyState(start + whole), parse_state::Complete);
    for (const char *chunks :
         {"4\rXbody\r\n0\r\n\r\n", "4\r\nbodyXY0\r\n\r\n", "4\r\nbody\rX0\r\n\r\n",
          "4\r\nbody\n\n0\r\n\r\n", "4\r\nbody\r\n0\rX\r\n", "4\r\nbody\r\n0\r\n\rX"}) {
        EXPECT_EQ(replyState(start + chunks), parse_state::Malformed) << chunks;
    }
}

// Trailers were taken for headers without a check of their names, so that a caller got lines that
// stood after the body, and a server could state twice what it had stated in the head.
TEST(message_parser, discardsTrailers)
{
    const std::string start =
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n";
    for (const std::size_t pieceSize : {std::size_t{1}, std::size_t{1000}}) {
        message_parser parser(message_parser::role::Reply);
        const std::string text = start + "Seal: s\r\nNot-Run: 1\r\n\r\n";
        for (std::size_t at = 0; at < text.size(); at += pieceSize)
            parser.feed(text.data() + at, std::min(pieceSize, text.size() - at));
        ASSERT_EQ(parser.state(), parse_state::Complete);
        const http_reply reply = parser.takeReply();
        EXPECT_EQ(reply.headers, (http_headers{{"Transfer-Encoding", "chunked"}}));
        EXPECT_EQ(reply.body, "body");
    }
    for (const std::string &line : invalidHeaderLines())
        EXPECT_EQ(replyState(start + line + "\r\n\r\n"), parse_state::Malformed) << line;
}

// A server that stopped in the middle of a reply's head must not yield a complete, empty reply.
TEST(message_parser, refusesAReplyThatEndsAnywhereBeforeItsEnd)
{
    const std::string heads[] = {
            "HTTP/1.1 200 OK\r\nSeal: abc\r\nContent-Length: 4\r\n\r\n",
            "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nSeal: abc\r\n\r\n",
            "HTTP/1.1 200 OK\nContent-Length: 4\nSeal: abc\n\n",
            "HTTP/1.1 200 OK\r\nSeal: abc\r\nTransfer-Encoding: chunked\r\n\r\n4\r\n",
    };
    for (const std::string &head : heads) {
        const bool isChunked = head.find("chunked") != std::string::npos;
        const std::string whole = head + "body" + (isChunked ? "\r\n0\r\n\r\n" : "");
        for (std::size_t length = 0; length < whole.size(); ++length) {
            message_parser parser(message_parser::role::Reply);
            parser.feed(whole.data(), length);
            parser.feedEnd();
            EXPECT_NE(parser.state(), parse_state::Complete) << whole.substr(0, length);
        }
    }
    const std::string noLength = "HTTP/1.1 200 OK\r\nSeal: abc\r\n\r\n";
    for (std::size_t length = 0; length < noLength.size(); ++length) {
        message_parser parser(message_parser::role::Reply);
        parser.feed(noLength.data(), length);
        parser.feedEnd();
        EXPECT_NE(parser.state(), parse_state::Complete) << noLength.substr(0, length);
    }
}

// Bytes that come without end must not be collected without end.
TEST(message_parser, refusesBytesWithoutEnd)
{
    const std::pair<const char *, const char *> streams[] = {
            {"", "x"},
            {"", "\r\n"},
            {"HTTP/1.1 200 ", "OK"},
            {"HTTP/1.1 2", "0"},
            {"HTTP/1.1 200 OK\r\n", "x"},
            {"HTTP/1.1 200 OK\r\nName: ", "x"},
            {"HTTP/1.1 200 OK\r\n", "Name: value\r\n"},
            {"HTTP/1.1 200 OK\r\nA: b\r\n", " folded\r\n"},
            {"HTTP/1.1 200 OK\r\n\r\n", "x"},
            {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n"},
            {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "0"},
            {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;", "x"},
            {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "Name: value\r\n"},
    };
    // The smallest chunks take six times the bytes of their content.
    constexpr std::size_t mostBytes = 8 * message_limits().maxBodyBytes;
    for (const auto &[prefix, filler] : streams) {
        message_parser parser(message_parser::role::Reply);
        parser.feed(prefix, std::string(prefix).size());
        std::string block;
        while (block.size() < 1024)
            block += filler;
        const auto isReading = [&parser] {
            return parser.state() == parse_state::Empty ||
                   parser.state() == parse_state::Incomplete;
        };
        std::size_t taken = 0;
        while (isReading() && taken < mostBytes)
            taken += parser.feed(block.data(), block.size());
        EXPECT_LT(taken, mostBytes) << prefix << " and then " << filler;
        EXPECT_FALSE(isReading()) << prefix << " and then " << filler;
        EXPECT_NE(parser.state(), parse_state::Complete) << prefix << " and then " << filler;
    }
}

// Headers of one byte each took some thirty times their bytes.
TEST(message_parser, refusesMoreHeadersThanItsLimit)
{
    message_parser parser(message_parser::role::Reply);
    std::string text = "HTTP/1.1 200 OK\r\n";
    for (int i = 0; i < 1001; ++i)
        text += "a:\r\n";
    parser.feed(text.data(), text.size());
    EXPECT_EQ(parser.state(), message_parser::parse_state::HeaderTooLarge);
}

// A length that is only announced must take no memory: many servers can announce one at once.
TEST(message_parser, holdsMemoryForBytesThatHaveArrivedOnly)
{
    message_parser parser(message_parser::role::Reply);
    parser.setLimits({1024, 8 * 1024 * 1024});
    const std::string head = "HTTP/1.1 200 OK\r\nContent-Length: 8000000\r\n\r\n";
    parser.feed(head.data(), head.size());
    EXPECT_LT(parser.heldBytes(), 4096U);
    const std::string piece(100000, 'x');
    parser.feed(piece.data(), piece.size());
    EXPECT_GE(parser.heldBytes(), piece.size());
    EXPECT_LT(parser.heldBytes(), 3 * piece.size());
    parser.reset();
    EXPECT_EQ(parser.heldBytes(), 0U);
}
