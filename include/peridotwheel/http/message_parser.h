#ifndef PERIDOTWHEEL_HTTP_MESSAGE_PARSER_H
#define PERIDOTWHEEL_HTTP_MESSAGE_PARSER_H

#include "peridotwheel/http/http_message.h"

#include <cstddef>
#include <memory>
#include <string>

namespace peridotwheel {

/// A request that is forwarded unchanged. Unlike `http_request`, it may have any method, and its
/// target is kept byte for byte.
struct opaque_request
{
    std::string method;
    std::string target; ///< Path with query string, as on the wire.
    http_headers headers;
    std::string body;
    /// Whether the client may send another request on the same connection.
    bool keepAlive = true;

    const std::string *header(std::string_view name) const { return findHeader(headers, name); }
};

/// Limits of one message. A longer message fails as soon as a limit is known to be exceeded, before
/// it has been read in full.
struct message_limits
{
    std::size_t maxHeaderBytes = 16 * 1024;
    std::size_t maxBodyBytes = 256 * 1024;
    /// Each header occupies memory beyond its bytes.
    std::size_t maxHeaders = 1000;
};

/// Parses the HTTP/1.1 messages in the byte stream of a connection, one at a time.
class message_parser
{
public:
    enum class role { Request, Reply };
    enum class parse_state {
        Empty,      ///< No byte of the next message has arrived.
        Incomplete, ///< Part of the message has arrived.
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
    /// Sets whether the next reply answers a HEAD request and therefore has no body.
    void expectNoBody(bool noBody);
    /// Parses until the end of the message or of the data. Returns the number of bytes consumed.
    std::size_t feed(const char *data, std::size_t size);
    /// Handles an orderly close by the peer, which completes a reply without a length.
    void feedEnd();
    parse_state state() const;
    bool headersComplete() const;
    /// Returns about how much memory the message in progress occupies.
    std::size_t heldBytes() const;
    /// Returns true if the client waits for a 100 Continue before it sends the body.
    bool expectsContinue() const;
    /// Return the complete message and prepare the parser for the next one.
    opaque_request takeRequest();
    http_reply takeReply();
    /// Returns true if the last complete message allows another one on its connection.
    bool keepAlive() const;
    /// Discards the message in progress.
    void reset();

private:
    struct impl;
    std::unique_ptr<impl> m_impl;
};

} // namespace peridotwheel

#endif
