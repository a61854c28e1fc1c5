#include "peridotwheel/configuration/settings.h"
#include "peridotwheel/support/random_source.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

using namespace peridotwheel;
using testing::AllOf;
using testing::HasSubstr;

namespace {

const std::string validSettings =
        "[instance]\nid = north-1\ndata_centre = north\n"
        "[listen]\ncallers = 127.0.1.1:8000\npeers = 127.0.1.1:8001\n"
        "operators = [::1]:8002\n[platform]\naddress = 127.0.0.9:7000\n"
        "[limits]\nmax_waiting = 500\nshutdown_seconds = 7\n[log]\nlevel = warning\n";

std::string withReplaced(const std::string &from, const std::string &to)
{
    std::string text = validSettings;
    return text.replace(text.find(from), from.size(), to);
}

std::string errorOf(const std::string &text)
{
    const auto parsed = parseSettings(text, "north.ini");
    return parsed ? "accepted" : parsed.error().message;
}

} // namespace

TEST(settings, readsEveryValueAndKeepsDefaults)
{
    const auto s = parseSettings(validSettings, "north.ini");
    ASSERT_TRUE(s) << s.error().message;
    EXPECT_EQ(s.value().id, instance_id("north-1"));
    EXPECT_EQ(s.value().operators, (endpoint{"::1", 8002}));
    EXPECT_EQ(s.value().maxWaiting, 500U);
    EXPECT_EQ(s.value().maxConnections, 1024U);
    EXPECT_EQ(s.value().shutdownTimeout, seconds(7));
}

// Guards against messages from which an operator cannot find the line to correct.
TEST(settings, everyErrorNamesTheFileTheKeyTheValueAndTheRemedy)
{
    EXPECT_EQ(errorOf(withReplaced("max_waiting", "max_wating")),
              "north.ini: [limits] max_wating = '500' is unknown; did you mean [limits] "
              "max_waiting?");
    EXPECT_THAT(errorOf(withReplaced("[platform]", "[plattform]")),
                HasSubstr("[platform] address?"));
    EXPECT_THAT(errorOf(withReplaced("= 7\n", "= 11\n")),
                AllOf(HasSubstr("shutdown_seconds = '11'"), HasSubstr("from 1 to 10")));
    EXPECT_THAT(errorOf(withReplaced("= 500", "= 500x")), HasSubstr("whole number"));
    EXPECT_THAT(errorOf(withReplaced("8001", "8000")), HasSubstr("same as [listen] callers"));
    EXPECT_THAT(errorOf(withReplaced("127.0.0.9:7000", "localhost:7000")), HasSubstr("numeric"));
    EXPECT_THAT(errorOf(withReplaced("127.0.1.1:8000", "0.0.0.0:8000")), HasSubstr("wildcard"));
    EXPECT_THAT(errorOf(withReplaced("id = north-1", "id = ../x")), HasSubstr("valid name"));
    EXPECT_THAT(errorOf(withReplaced("id = north-1\n", "")),
                HasSubstr("[instance] id = '' is missing"));
    EXPECT_THAT(errorOf(withReplaced("id = north-1", "id = a\nid = b")), HasSubstr("twice"));
    EXPECT_THAT(errorOf(withReplaced("= warning", "= loud")), HasSubstr("debug, info"));
    EXPECT_THAT(errorOf(withReplaced("id = north-1", "north-1")), HasSubstr("line 2"));
    EXPECT_THAT(errorOf(validSettings + std::string(300, 'x')), HasSubstr("longer than"));
    EXPECT_THAT(readSettings("no-such.ini").error().message,
                HasSubstr("no-such.ini: cannot be read"));
}

// Guards against crashes and silent acceptance of damaged files.
TEST(settings, damagedTextIsRejectedWithAMessage)
{
    constexpr std::uint64_t seed = 20261204;
    std::cout << "seed " << seed << "\n";
    random_source random(seed);
    for (int round = 0; round < 3000; ++round) {
        std::string text = validSettings;
        for (std::uint64_t edits = random.below(6); edits > 0; --edits) {
            const auto at = random.below(text.size());
            text.replace(at, random.below(4), 1, static_cast<char>(random.below(256)));
        }
        const auto parsed = parseSettings(text, "damaged");
        if (!parsed) {
            ASSERT_THAT(parsed.error().message, testing::StartsWith("damaged: "));
            continue;
        }
        ASSERT_LE(parsed.value().shutdownTimeout, maxShutdownTimeout);
    }
}
