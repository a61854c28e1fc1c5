#include "peridotwheel/configuration/settings.h"

#include <cstddef>
#include <cstdint>
#include <cstdlib>

/// Feeds the settings parser. An error without a message is a finding as well.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size) // NOLINT
{
    const std::string text(reinterpret_cast<const char *>(data), size);
    const auto parsed = peridotwheel::parseSettings(text, "fuzz");
    if (!parsed && parsed.error().message.rfind("fuzz: ", 0) != 0)
        std::abort();
    return 0;
}
