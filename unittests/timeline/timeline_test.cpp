#include "peridotwheel/support/manual_loop.h"
#include "peridotwheel/timeline/event_ring.h"
#include "peridotwheel/timeline/timeline_merge.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

using namespace peridotwheel;
using testing::HasSubstr;

namespace {

timeline_event makeEvent(const std::string &text, event_kind kind = event_kind::Claim)
{
    timeline_event event;
    event.kind = kind;
    event.request = request_id("booking-17");
    event.text = text;
    return event;
}

process_timeline serialiseAndParse(const std::string &process, const event_ring &ring)
{
    return parseTimelinePage(serialiseTimelinePage(process, ring)).value();
}

} // namespace

// Guards against an effect that is shown before its cause because the receiver's clock lags.
TEST(timelineMerge, ordersEffectAfterCauseDespiteClockSkew)
{
    manual_loop ahead;
    manual_loop behind;
    ahead.advance(seconds(5));
    event_ring sender(ahead, 10);
    event_ring receiver(behind, 10);
    sender.record(makeEvent("sent"));
    receiver.clock().observe(sender.clock().tick());
    receiver.record(makeEvent("received"));
    const auto merged = mergeTimelines(
            {serialiseAndParse("b", receiver), serialiseAndParse("a", sender)}, timeline_filter{});
    ASSERT_EQ(merged.events.size(), 2U);
    EXPECT_EQ(merged.events[0].event.text, "sent");
    EXPECT_EQ(merged.events[1].event.text, "received");
}

// Guards against one instance with a wrong clock that moves the clocks of the whole fleet.
TEST(hybridClock, ignoresTimesFarAheadAndNeverFallsBack)
{
    manual_loop loop;
    hybrid_clock clock(loop);
    const auto before = clock.tick();
    const auto after = clock.observe({before.wallMs + 3600 * 1000, 0});
    EXPECT_EQ(after.wallMs, before.wallMs);
    EXPECT_LT(before, after);
}

TEST(eventRing, keepsLatestEventsAndCountsReplacedOnes)
{
    manual_loop loop;
    event_ring ring(loop, 3);
    for (int i = 0; i < 5; ++i)
        ring.record(makeEvent(std::to_string(i)));
    const auto events = ring.events();
    ASSERT_EQ(events.size(), 3U);
    EXPECT_EQ(events.front().text, "2");
    EXPECT_EQ(events.back().text, "4");
    EXPECT_EQ(ring.dropped(), 2U);
}

// Guards against a timeline that looks complete although a process was unreachable, and against
// caller input that forges lines or markup.
TEST(timelineMerge, filtersEventsListsMissingProcessesAndEscapesText)
{
    manual_loop loop;
    event_ring ring(loop, 10);
    ring.record(makeEvent("hedge <b>\nforged", event_kind::Hedge));
    ring.record(makeEvent("claimed"));
    process_timeline unreachable;
    unreachable.process = "i2";
    unreachable.failureReason = "connection refused";
    timeline_filter filter;
    filter.kinds = {event_kind::Hedge};
    const auto merged = mergeTimelines({serialiseAndParse("i1", ring), unreachable}, filter);
    ASSERT_EQ(merged.events.size(), 1U);
    EXPECT_THAT(renderText(merged), HasSubstr("<b> forged\nmissing: i2: connection refused\n"));
    EXPECT_THAT(renderSvg(merged), HasSubstr("&lt;b&gt; forged</title>"));
    EXPECT_THAT(renderJson(merged), HasSubstr("\"i2: connection refused\""));
    filter.kinds.clear();
    filter.request = request_id("another");
    EXPECT_TRUE(mergeTimelines({serialiseAndParse("i1", ring)}, filter).events.empty());
    filter.request = request_id();
    filter.from = loop.wallNow() + milliseconds(1);
    EXPECT_TRUE(mergeTimelines({serialiseAndParse("i1", ring)}, filter).events.empty());
    EXPECT_FALSE(parseTimelinePage("{\"process\":1}"));
}
