#include "lib/gateway/record_merge.h"
#include "peridotwheel/gateway/decision_log.h"
#include "peridotwheel/gateway/gateway_settings.h"
#include "peridotwheel/support/manual_loop.h"

#include <gmock/gmock.h>

using namespace peridotwheel;
using testing::HasSubstr;

namespace {

std::string record(char c)
{
    return std::string(recordBytes, c);
}

/// A log whose reader takes a given number of bytes at each write.
class decision_log_test : public testing::Test
{
protected:
    std::size_t take(std::string_view text)
    {
        const std::size_t n = std::min(text.size(), takesAtOnce);
        written += text.substr(0, n);
        return n;
    }

    std::size_t lines() const
    {
        return static_cast<std::size_t>(std::count(written.begin(), written.end(), '\n'));
    }

    manual_loop loop;
    std::string written;
    std::size_t takesAtOnce = 1024 * 1024;
    decision_log log{loop, "node-1", [this](std::string_view text) { return take(text); }};
};

const std::string validSettings = R"(
[instance]
id = node-1
data_centre = tamana
first_start = true
unknown = 7
[listen]
callers = 10.1.0.39:8226
readiness = 10.1.0.39:8227
peers = 10.1.0.39:8224
metrics = 10.1.0.39:7740
[store]
address = 10.200.1.7:8229
[peers]
seeds = 10.1.0.39:8224,10.2.0.33:8224
[regions]
tamana = north
moruga = south
[extra_attempts]
ratio = 0.25
constant = 58
window_seconds = 10
[changes]
configuration_within_ms = 3000
drain_within_ms = 4000
[shutdown]
killed_after_seconds = 6
[rules]
contracts = base,drain
)";

std::string changed(const std::string &from, const std::string &to)
{
    std::string text = validSettings;
    return text.replace(text.find(from), from.size(), to);
}

std::string problemOf(const std::string &text)
{
    const auto read = parseGatewaySettings(text, "node.ini");
    return read ? "accepted" : read.error().message;
}

} // namespace

TEST(record_merge, takesTheGreatestRecordsOfAllParts)
{
    const std::vector<answer_part> parts{
            {"", record('b') + record('d')}, {"", record('c') + record('\xff')}, {"", ""}};
    EXPECT_EQ(greatestRecords(parts, 3), record('\xff') + record('d') + record('c'));
}

// Equal records are all kept, and trailing bytes shorter than a record are ignored.
TEST(record_merge, countsEqualRecordsAndLeavesRestsOut)
{
    const std::vector<answer_part> parts{{"", record('a') + "short"}, {"", record('a')}};
    EXPECT_EQ(greatestRecords(parts, 5), record('a') + record('a'));
    EXPECT_EQ(greatestRecords(parts, 0), "");
}

// The parts of many shards are kept until the answer, and a faulty server may send a long one.
TEST(record_merge, keepsOnlyTheGreatestRecordsOfALongPart)
{
    std::string records;
    for (int i = 0; i < 100000; ++i)
        records += record(static_cast<char>('a' + i % 26));
    answer_part part{"seal", records};
    const std::string greatest = greatestRecords({part}, 3);
    keepGreatestRecords(part, 3);
    EXPECT_EQ(part.records, greatest);
    answer_part shortPart{"seal", record('b') + record('a') + record('c') + record('d')};
    const std::string before = shortPart.records;
    keepGreatestRecords(shortPart, 3);
    EXPECT_EQ(shortPart.records, before);
}

TEST_F(decision_log_test, writesLinesOfPairs)
{
    log.state("started")
            .add("reason", "two words")
            .add("count", 3)
            .addMs("took_ms", milliseconds(12));
    loop.advance(seconds(1));
    EXPECT_THAT(written, HasSubstr("instance=node-1 event=started reason=\"two words\" count=3 "
                                   "took_ms=12.0\n"));
}

// Logging many decisions must not use up the processor; omitted lines are counted.
TEST_F(decision_log_test, boundsDecisionsAndReportsWhatIsLeftOut)
{
    for (int i = 0; i < 10000; ++i)
        log.decision("refused");
    loop.advance(seconds(1));
    EXPECT_LT(lines(), 500U);
    EXPECT_GT(log.droppedLines(), 9000U);
    EXPECT_THAT(written, HasSubstr("event=log_lines_left_out"));
}

// A log reader that stops reading must neither block the process nor use up its memory.
TEST_F(decision_log_test, neitherBlocksNorGrowsWithoutAReader)
{
    takesAtOnce = 0;
    for (int i = 0; i < 100000; ++i)
        log.state("changed").add("text", std::string(100, 'x'));
    loop.advance(seconds(5));
    takesAtOnce = 1024 * 1024;
    log.state("last");
    loop.advance(seconds(1));
    EXPECT_LE(written.size(), 70U * 1024);
    EXPECT_THAT(written, HasSubstr("log_lines_left_out"));
}

// An incomplete list of a request's decisions would mislead whoever looks for the cause.
TEST_F(decision_log_test, admitsAStoryWholeOrNotAtAll)
{
    while (log.admitTrace(50))
        continue;
    EXPECT_FALSE(log.admitTrace(50));
    loop.advance(milliseconds(600));
    EXPECT_TRUE(log.admitTrace(50));
}

TEST(gateway_settings, readsEveryValue)
{
    const auto read = parseGatewaySettings(validSettings, "node.ini");
    ASSERT_TRUE(read) << read.error().message;
    const gateway_settings &s = read.value();
    EXPECT_EQ(s.id, instance_id("node-1"));
    EXPECT_EQ(s.callers, (endpoint{"10.1.0.39", 8226}));
    EXPECT_TRUE(s.firstStart);
    EXPECT_EQ(s.seeds.size(), 2U);
    EXPECT_EQ(s.regions.at(data_centre_id("moruga")), region_id("south"));
    EXPECT_DOUBLE_EQ(s.extraAttempts.ratio, 0.25);
    EXPECT_EQ(s.applyWithin, seconds(3));
    EXPECT_EQ(s.stopWithin, seconds(6));
    EXPECT_EQ(s.contracts.size(), 2U);
}

// Many replies at once must fit into the machine, also where the settings do not state its memory.
TEST(gateway_settings, boundsItsMemoryByTheSettingOrTheMachine)
{
    const auto stated = parseGatewaySettings(
            changed("first_start = true", "first_start = true\nmemory_mb = 160"), "node.ini");
    ASSERT_TRUE(stated) << stated.error().message;
    EXPECT_EQ(stated.value().memoryBytes, 160 * bytesPerMegabyte);
    const auto unstated = parseGatewaySettings(validSettings, "node.ini");
    ASSERT_TRUE(unstated);
    EXPECT_GT(unstated.value().memoryBytes, 0U);
    EXPECT_LE(unstated.value().memoryBytes, 256 * bytesPerMegabyte);
}

// An error in the settings file must be reported with file, key, value and remedy.
TEST(gateway_settings, namesWhatIsWrong)
{
    EXPECT_EQ(problemOf(changed("callers = 10.1.0.39:8226", "callers = here")),
              "node.ini: [listen] callers = 'here' is not a numeric address with a port; write it "
              "like 10.0.0.7:8080");
    EXPECT_THAT(problemOf(changed("id = node-1", "")),
                HasSubstr("[instance] id = '' is missing; add it"));
    EXPECT_THAT(problemOf(changed("ratio = 0.25", "ratio = much")),
                HasSubstr("[extra_attempts] ratio = 'much' is not a number from 0 to 1"));
    EXPECT_THAT(problemOf(changed("first_start = true", "first_start = maybe")),
                HasSubstr("neither 'true' nor 'false'"));
    EXPECT_THAT(problemOf("[instance\n"), HasSubstr("line 1"));
    EXPECT_THAT(readGatewaySettings("/no/such/file").error().message, HasSubstr("/no/such/file"));
}
