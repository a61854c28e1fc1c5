#include "peridotwheel/http/message_parser.h"

#include "line_checker.h"

#include <algorithm>
#include <http_parser.h>
#include <strings.h>
#include <utility>

namespace peridotwheel {

namespace {

constexpr std::size_t minBodyCapacity = 256;

} // namespace

struct message_parser::impl
{
    explicit impl(http_parser_type t)
        : type(t)
        , lines(t == HTTP_REQUEST ? line_checker::start_line::Request
                                  : line_checker::start_line::Status)
    {
        begin();
    }

    void begin();
    bool checkLinesUpTo(const char *end);
    bool addHeaderBytes(std::size_t size);
    void appendBody(const char *at, std::size_t size);
    int onHeadersComplete();

    http_parser parser{};
    http_parser_type type;
    line_checker lines;
    /// Start of the bytes in the data being parsed that are neither checked nor of the body.
    const char *unchecked = nullptr;
    message_limits limits;
    parse_state state = parse_state::Empty;
    bool noBody = false;
    bool lastWasValue = true;
    bool headersDone = false;
    bool keepAlive = true;
    /// Number of headers in the head.
    std::size_t headerCount = 0;
    std::size_t headerBytes = 0;
    /// Length that the headers state; 0 if none.
    std::size_t expectedBodyBytes = 0;
    std::string target;
    http_headers headers;
    std::string body;
};

namespace {

message_parser::parse_state failureOf(message_parser::parse_state state)
{
    using parse_state = message_parser::parse_state;
    const bool isSizeFailure =
            state == parse_state::HeaderTooLarge || state == parse_state::BodyTooLarge;
    return isSizeFailure ? state : parse_state::Malformed;
}

/// Returns false for an empty header name or one with blanks, since implementations disagree on how
/// to read names with blanks.
bool isUnambiguousName(const std::string &name)
{
    return !name.empty() && name.find_first_of(" \t") == std::string::npos;
}

bool equalsIgnoringCase(const std::string &name, const char *wanted)
{
    return strcasecmp(name.c_str(), wanted) == 0;
}

} // namespace

void message_parser::impl::begin()
{
    http_parser_init(&parser, type);
    parser.data = this;
    lines.reset();
    state = parse_state::Empty;
    lastWasValue = true;
    headersDone = false;
    headerCount = 0;
    headerBytes = 0;
    expectedBodyBytes = 0;
    target.clear();
    headers.clear();
    // Frees what an abandoned message occupied.
    body = std::string();
}

bool message_parser::impl::checkLinesUpTo(const char *end)
{
    const std::string_view bytes(unchecked, static_cast<std::size_t>(end - unchecked));
    unchecked = end;
    return lines.check(bytes);
}

void message_parser::impl::appendBody(const char *at, std::size_t size)
{
    // Memory for a length that was only announced is not taken before the bytes arrive.
    const std::size_t needed = body.size() + size;
    if (needed > body.capacity()) {
        const std::size_t doubled = std::max({needed, 2 * body.capacity(), minBodyCapacity});
        const bool isKnown = expectedBodyBytes >= needed;
        body.reserve(isKnown ? std::min(doubled, expectedBodyBytes) : doubled);
    }
    body.append(at, size);
}

bool message_parser::impl::addHeaderBytes(std::size_t size)
{
    headerBytes += size;
    if (headerBytes <= limits.maxHeaderBytes)
        return true;
    state = parse_state::HeaderTooLarge;
    return false;
}

int message_parser::impl::onHeadersComplete()
{
    headersDone = true;
    headerCount = headers.size();
    constexpr std::uint64_t unknownLength = ~std::uint64_t{0};
    const bool hasLength = (parser.flags & F_CONTENTLENGTH) != 0;
    const std::uint64_t length = parser.content_length;
    if (hasLength && length != unknownLength && length > limits.maxBodyBytes) {
        state = parse_state::BodyTooLarge;
        return -1;
    }
    if (hasLength)
        expectedBodyBytes = length;
    // A message with both a length and chunked encoding, or with another encoding, is ambiguous:
    // two implementations may disagree on where it ends.
    int encodings = 0;
    for (const auto &[name, value] : headers) {
        if (!equalsIgnoringCase(name, "Transfer-Encoding"))
            continue;
        ++encodings;
        if (strcasecmp(value.c_str(), "chunked") != 0 || hasLength)
            return -1;
    }
    if (encodings > 1)
        return -1;
    return noBody ? 1 : 0;
}

namespace {

template <class Parser>
struct callbacks
{
    using impl = Parser;

    static impl &self(http_parser *p) { return *static_cast<impl *>(p->data); }

    static int onBegin(http_parser *p)
    {
        self(p).state = message_parser::parse_state::Incomplete;
        return 0;
    }

    static int onUrl(http_parser *p, const char *at, size_t size)
    {
        if (!self(p).addHeaderBytes(size))
            return -1;
        self(p).target.append(at, size);
        return 0;
    }

    static int onName(http_parser *p, const char *at, size_t size)
    {
        impl &s = self(p);
        if (!s.addHeaderBytes(size))
            return -1;
        if (s.lastWasValue) {
            if (s.headers.size() >= s.limits.maxHeaders) {
                s.state = message_parser::parse_state::HeaderTooLarge;
                return -1;
            }
            s.headers.emplace_back();
        }
        s.lastWasValue = false;
        s.headers.back().first.append(at, size);
        return 0;
    }

    static int onValue(http_parser *p, const char *at, size_t size)
    {
        impl &s = self(p);
        if (!s.addHeaderBytes(size) || s.headers.empty())
            return -1;
        if (!s.lastWasValue && !isUnambiguousName(s.headers.back().first))
            return -1;
        s.lastWasValue = true;
        s.headers.back().second.append(at, size);
        return 0;
    }

    static int onHeaders(http_parser *p) { return self(p).onHeadersComplete(); }

    static int onBody(http_parser *p, const char *at, size_t size)
    {
        impl &s = self(p);
        if (!s.checkLinesUpTo(at))
            return -1;
        s.lines.skipBody();
        s.unchecked = at + size;
        if (s.body.size() + size > s.limits.maxBodyBytes) {
            s.state = message_parser::parse_state::BodyTooLarge;
            return -1;
        }
        s.appendBody(at, size);
        return 0;
    }

    static int onComplete(http_parser *p)
    {
        impl &s = self(p);
        s.state = message_parser::parse_state::Complete;
        // Trailers must not be merged into the head.
        s.headers.resize(s.headerCount);
        s.keepAlive = http_should_keep_alive(p) != 0;
        // Stops at the end of the message; the bytes that follow belong to the next message.
        http_parser_pause(p, 1);
        return 0;
    }
};

template <class Parser>
http_parser_settings makeSettings()
{
    using hooks = callbacks<Parser>;
    http_parser_settings s;
    http_parser_settings_init(&s);
    s.on_message_begin = &hooks::onBegin;
    s.on_url = &hooks::onUrl;
    s.on_header_field = &hooks::onName;
    s.on_header_value = &hooks::onValue;
    s.on_headers_complete = &hooks::onHeaders;
    s.on_body = &hooks::onBody;
    s.on_message_complete = &hooks::onComplete;
    return s;
}

} // namespace

message_parser::message_parser(role r)
    : m_impl(std::make_unique<impl>(r == role::Request ? HTTP_REQUEST : HTTP_RESPONSE))
{
}

message_parser::~message_parser() = default;

void message_parser::setLimits(const message_limits &limits)
{
    m_impl->limits = limits;
}

void message_parser::expectNoBody(bool noBody)
{
    m_impl->noBody = noBody;
}

std::size_t message_parser::feed(const char *data, std::size_t size)
{
    static const http_parser_settings settings = makeSettings<impl>();
    impl &s = *m_impl;
    if (size == 0 || (s.state != parse_state::Empty && s.state != parse_state::Incomplete))
        return 0;
    s.unchecked = data;
    const std::size_t used = http_parser_execute(&s.parser, &settings, data, size);
    const bool isParsed =
            s.state == parse_state::Complete || HTTP_PARSER_ERRNO(&s.parser) == HPE_OK;
    if (isParsed && !s.checkLinesUpTo(data + used)) {
        s.state = parse_state::Malformed;
        return used;
    }
    if (s.state == parse_state::Complete) {
        http_parser_pause(&s.parser, 0);
        // Protocol upgrades are not supported, and the bytes after such a request may not be HTTP.
        if (s.parser.upgrade != 0)
            s.keepAlive = false;
        return used;
    }
    if (HTTP_PARSER_ERRNO(&s.parser) != HPE_OK)
        s.state = failureOf(s.state);
    return used;
}

void message_parser::feedEnd()
{
    static const http_parser_settings settings = makeSettings<impl>();
    impl &s = *m_impl;
    if (s.state != parse_state::Incomplete)
        return;
    http_parser_execute(&s.parser, &settings, nullptr, 0);
    if (s.state != parse_state::Complete)
        s.state = parse_state::Malformed;
    s.keepAlive = false;
}

message_parser::parse_state message_parser::state() const
{
    return m_impl->state;
}

std::size_t message_parser::heldBytes() const
{
    const impl &s = *m_impl;
    if (s.state == parse_state::Empty)
        return 0;
    return s.headerBytes + s.headers.capacity() * sizeof(http_headers::value_type) +
           s.body.capacity();
}

bool message_parser::headersComplete() const
{
    return m_impl->headersDone;
}

bool message_parser::expectsContinue() const
{
    const std::string *expect = findHeader(m_impl->headers, "Expect");
    return m_impl->headersDone && expect != nullptr && equalsIgnoringCase(*expect, "100-continue");
}

opaque_request message_parser::takeRequest()
{
    impl &s = *m_impl;
    opaque_request r;
    r.method = http_method_str(static_cast<enum ::http_method>(s.parser.method));
    r.target = std::move(s.target);
    r.headers = std::move(s.headers);
    r.body = std::move(s.body);
    r.keepAlive = s.keepAlive;
    s.begin();
    return r;
}

http_reply message_parser::takeReply()
{
    impl &s = *m_impl;
    http_reply r;
    r.status = static_cast<int>(s.parser.status_code);
    r.headers = std::move(s.headers);
    r.body = std::move(s.body);
    s.begin();
    return r;
}

bool message_parser::keepAlive() const
{
    return m_impl->keepAlive;
}

void message_parser::reset()
{
    m_impl->begin();
}

} // namespace peridotwheel
