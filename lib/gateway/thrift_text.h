#ifndef PERIDOTWHEEL_LIB_GATEWAY_THRIFT_TEXT_H
#define PERIDOTWHEEL_LIB_GATEWAY_THRIFT_TEXT_H

#include "peridotwheel/support/error.h"

#include <memory>
#include <string>
#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

namespace peridotwheel {

template <class Message>
std::string encodeThrift(const Message &message)
{
    using apache::thrift::transport::TMemoryBuffer;
    auto buffer = std::make_shared<TMemoryBuffer>();
    apache::thrift::protocol::TCompactProtocolT<TMemoryBuffer> out(buffer);
    message.write(&out);
    return buffer->getBufferAsString();
}

template <class Message>
result<Message> decodeThrift(const std::string &text)
{
    using apache::thrift::transport::TMemoryBuffer;
    try {
        auto buffer = std::make_shared<TMemoryBuffer>(
                reinterpret_cast<std::uint8_t *>(const_cast<char *>(text.data())),
                static_cast<std::uint32_t>(text.size()));
        apache::thrift::protocol::TCompactProtocolT<TMemoryBuffer> in(buffer);
        Message message;
        message.read(&in);
        return message;
    } catch (const std::exception &e) {
        return failure(error_kind::InvalidArgument,
                       std::string("the message of another instance is malformed: ") + e.what());
    }
}

} // namespace peridotwheel

#endif
