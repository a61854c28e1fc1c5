#include "peridotwheel/support/compression.h"

#include <zlib.h>

namespace peridotwheel {

namespace {

const Bytef *bytesOf(std::string_view text)
{
    return reinterpret_cast<const Bytef *>(text.data());
}

Bytef *bytesOf(std::string &text)
{
    return reinterpret_cast<Bytef *>(text.data());
}

} // namespace

result<std::string> compress(std::string_view text)
{
    uLongf size = compressBound(text.size());
    std::string out(size, '\0');
    if (compress2(bytesOf(out), &size, bytesOf(text), text.size(), Z_BEST_SPEED) != Z_OK) {
        return failure(error_kind::Unavailable,
                       "no memory to compress " + std::to_string(text.size()) +
                               " bytes; raise the memory limit of the process");
    }
    out.resize(size);
    out.shrink_to_fit();
    return out;
}

result<std::string> decompress(std::string_view compressed, std::size_t textBytes)
{
    std::string out(textBytes, '\0');
    uLongf size = out.size();
    const int status = uncompress(bytesOf(out), &size, bytesOf(compressed), compressed.size());
    if (status != Z_OK || size != textBytes) {
        return failure(
                error_kind::InvalidArgument,
                "the compressed data is damaged or not of the stated size; request it again");
    }
    return out;
}

} // namespace peridotwheel
