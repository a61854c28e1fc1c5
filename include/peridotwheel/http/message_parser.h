#ifndef PERIDOTWHEEL_HTTP_MESSAGE_PARSER_H
#define PERIDOTWHEEL_HTTP_MESSAGE_PARSER_H

#include "peridotwheel/http/http_message.h"

#include <cstddef>
#include <memory>
#include <string>

namespace peridotwheel {

/// A request that is passed on: unlike `http_request` it may have any method and keeps its target
/// byte for byte.
struct opaque_request
{
    std::string method;
    std::string target; ///< Path with query string, as on the wire.
    http_headers headers;
    std::string body;
    /// The client may send another request on the same connection.
    bool keepAlive = true;

    const std::string *header(std::string_view name) const { return findHeader(headers, name); }
};

/// Bounds of one message. Longer ones fail before they are read.
struct message_limits
{
    std::size_t maxHeaderBytes = 16 * 1024;
    std::size_t maxBodyBytes = 256 * 1024;
};

/// Parses one HTTP/1.1 message after the other from the bytes of a connection.
class message_parser
{
public:
    enum class role { Request, Reply };
    enum class parse_state {
        Empty,      ///< Nothing of the next message has come.
        Incomplete, ///< The message has begun.
        Complete,
        Malformed,
        HeaderTooLarge,
        BodyTooLarge,
    };

    explicit message_parser(role r);
    message_parser(const message_parser &) = delete;
    message_parser &operator=(const message_parser &) = delete;
    ~message_parser();

    void setLimits(const message_limits &limits);
    /// The next reply answers a HEAD request and has no body.
    void expectNoBody(bool noBody);
    /// Reads until the end of the message or of the data; returns the number of bytes used.
    std::size_t feed(const char *data, std::size_t size);
    /// The peer has closed the connection in order; completes a reply without a length.
    void feedEnd();
    parse_state state() const;
    bool headersComplete() const;
    /// The client waits for permission to send the body.
    bool expectsContinue() const;
    /// The complete message. The parser is ready for the next one afterwards.
    opaque_request takeRequest();
    http_reply takeReply();
    /// Whether the message that was taken last allows another one on its connection.
    bool keepAlive() const;
    /// Forgets the message in progress.
    void reset();

private:
    struct impl;
    std::unique_ptr<impl> m_impl;
};

} // namespace peridotwheel

#endif
