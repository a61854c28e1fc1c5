#ifndef PERIDOTWHEEL_LIB_GATEWAY_ALLOTMENT_CODEC_H
#define PERIDOTWHEEL_LIB_GATEWAY_ALLOTMENT_CODEC_H

#include "allotment_owner.h"
#include "peridotwheel/support/error.h"

#include <string>

namespace peridotwheel {

std::string encodeAllotmentRequest(const allotment_request &request);
result<allotment_request> decodeAllotmentRequest(const std::string &text);
std::string encodeAllotmentReply(const allotment_reply &reply);
result<allotment_reply> decodeAllotmentReply(const std::string &text);

} // namespace peridotwheel

#endif
