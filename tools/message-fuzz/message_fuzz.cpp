#include "peridotwheel/http/message_parser.h"

#include <algorithm>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <string_view>

/// libFuzzer target over the parser of callers' requests and of servers' replies: the first byte
/// chooses which, the rest is what arrives. Messages must be the same however the bytes are cut
/// into pieces, and never exceed the limits.

using namespace peridotwheel;

namespace {

constexpr message_limits limits{512, 256};

void require(bool condition, const char *what)
{
    if (condition)
        return;
    std::fprintf(stderr, "violated: %s\n", what);
    std::abort();
}

struct transcript
{
    std::string text;
    message_parser::parse_state last = message_parser::parse_state::Empty;
};

void record(transcript &out, const std::string &start, const http_headers &headers,
            const std::string &body)
{
    require(body.size() <= limits.maxBodyBytes, "body within its limit");
    out.text += start + "\n";
    std::size_t bytes = 0;
    for (const auto &[name, value] : headers) {
        bytes += name.size() + value.size();
        require(name.find(' ') == std::string::npos, "header names without blanks");
        out.text.append(name).append(":").append(value).append("\n");
    }
    require(bytes <= limits.maxHeaderBytes, "headers within their limit");
    out.text += body + "\n";
}

/// Parses all of \p data in pieces of \p pieceSize bytes.
transcript parse(message_parser::role role, std::string_view data, std::size_t pieceSize)
{
    transcript out;
    message_parser parser(role);
    parser.setLimits(limits);
    while (!data.empty()) {
        const std::size_t used = parser.feed(data.data(), std::min(pieceSize, data.size()));
        require(used <= data.size(), "no more bytes used than given");
        out.last = parser.state();
        if (out.last == message_parser::parse_state::Complete) {
            if (role == message_parser::role::Request) {
                const opaque_request r = parser.takeRequest();
                record(out, r.method + " " + r.target, r.headers, r.body);
            } else {
                const http_reply r = parser.takeReply();
                record(out, std::to_string(r.status), r.headers, r.body);
            }
        } else if (out.last != message_parser::parse_state::Empty &&
                   out.last != message_parser::parse_state::Incomplete) {
            return out;
        }
        data.remove_prefix(used);
        if (used == 0)
            return out;
    }
    return out;
}

} // namespace

// NOLINTNEXTLINE(readability-identifier-naming): libFuzzer prescribes the name.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    if (size == 0)
        return 0;
    const auto role =
            data[0] % 2 == 0 ? message_parser::role::Request : message_parser::role::Reply;
    const std::string_view text(reinterpret_cast<const char *>(data) + 1, size - 1);
    const transcript whole = parse(role, text, text.size());
    const transcript bytes = parse(role, text, 1);
    require(whole.text == bytes.text, "the same messages in pieces");
    return 0;
}
