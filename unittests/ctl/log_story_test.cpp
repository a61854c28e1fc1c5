#include "peridotwheel/ctl/log_story.h"

#include <gmock/gmock.h>
#include <sstream>

using namespace peridotwheel;
using testing::HasSubstr;
using testing::Not;

namespace {

const std::string logText =
        "  35.1 front-1 2026-02-13T10:54:08.022Z instance=front-1 event=server_suspected "
        "server=i-1 "
        "service=s1 silent_ms=600.0\n"
        "2026-02-13T10:54:08.023Z instance=front-2 event=server_suspected server=i-1 service=s1\n"
        "2026-02-13T10:54:08.100Z instance=front-1 event=server_suspected server=i-9 service=s9\n"
        "2026-02-13T10:54:08.200Z instance=front-1 event=store_lost reason=\"no \\\"reply\\\" "
        "came\"\n"
        "2026-02-13T10:54:09.000Z instance=front-1 event=attempt request=abc at_ms=0.1 service=s1 "
        "server=i-1 value=3.0\n"
        "2026-02-13T10:54:09.000Z instance=front-1 event=attempt_lost request=abc at_ms=9.5 "
        "service=s1 server=i-1 value=0.0\n"
        "2026-02-13T10:54:09.000Z instance=front-1 event=request_ended request=abc outcome=failed "
        "took_ms=10.0\n"
        "2026-02-13T10:54:09.500Z instance=front-1 event=server_suspected server=i-1 service=s1\n"
        "not a log line\n";

std::vector<log_line> sampleLog()
{
    std::istringstream in(logText);
    return readLog(in);
}

} // namespace

TEST(log_story, readsLinesWithPrefixesAndQuotes)
{
    const auto log = sampleLog();
    ASSERT_EQ(log.size(), 8U);
    EXPECT_EQ(log[0].instance, "front-1");
    EXPECT_EQ(log[0].time, "2026-02-13T10:54:08.022Z");
    EXPECT_EQ(log[3].field("reason"), "no \"reply\" came");
}

// The cause of a failed request is among what its instance believed of the servers that it met.
TEST(log_story, showsARequestWithTheBeliefsBehindIt)
{
    std::ostringstream out;
    ASSERT_TRUE(explainRequest(sampleLog(), "abc", out));
    const std::string text = out.str();
    EXPECT_THAT(text, HasSubstr("store_lost"));
    EXPECT_THAT(text, HasSubstr("silent_ms=600.0"));
    EXPECT_THAT(text, Not(HasSubstr("i-9")));
    EXPECT_THAT(text, Not(HasSubstr("10:54:09.500Z")));
    EXPECT_LT(text.find("attempt_lost"), text.find("request_ended"));
}

TEST(log_story, tellsThatNoLineNamesTheRequest)
{
    std::ostringstream out;
    EXPECT_FALSE(explainRequest(sampleLog(), "other", out));
}

TEST(log_story, countsOutcomesBySecond)
{
    std::ostringstream out;
    reportLog(sampleLog(), out);
    EXPECT_THAT(out.str(), HasSubstr("2026-02-13T10:54:09"));
    EXPECT_THAT(out.str(), HasSubstr("failed"));
}

// Whatever a pipe delivers must not end the program.
TEST(log_story, skipsBrokenLines)
{
    EXPECT_FALSE(parseLogLine(""));
    EXPECT_FALSE(parseLogLine("2026-02-13T10:54:09.000Z"));
    EXPECT_FALSE(parseLogLine("2026-02-13T10:54:09.000Z event="));
    EXPECT_TRUE(parseLogLine("2026-02-13T10:54:09.000Z event=x reason=\"open"));
}
