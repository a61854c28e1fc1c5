#include "peridotwheel/counters/counter_set.h"
#include "peridotwheel/entry/operator_service.h"
#include "peridotwheel/state/blackboard.h"
#include "peridotwheel/support/manual_loop.h"
#include "peridotwheel/timeline/event_ring.h"
#include "peridotwheel/timeline/timeline_json.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

using namespace peridotwheel;
using nlohmann::json;

namespace {

class operator_service_fixture : public testing::Test
{
protected:
    operator_service_fixture()
    {
        self.id = instance_id("entry-1");
        self.dataCentre = data_centre_id("dc1");
        self.operators = {"127.0.1.1", 8002};
        service.emplace(board, counters, events, self);
    }

    json page(const std::string &path)
    {
        const auto reply = service->handle({http_method::Get, path, {}, ""});
        EXPECT_EQ(reply.status, 200) << path;
        return json::parse(reply.body);
    }

    manual_loop loop;
    blackboard board;
    counter_set counters;
    event_ring events{loop, 8};
    member self;
    std::optional<operator_service> service;
};

} // namespace

// Guards against pages that show a version that is not in force: before the first read there is
// none.
TEST_F(operator_service_fixture, whereStatesOnlyWhatIsInForce)
{
    EXPECT_EQ(page("/operator/where")["configurationVersion"], 0);
    EXPECT_EQ(page("/operator/where")["snapshotVersion"], 0);
    configuration_document document;
    document.version = object_version(12);
    board.configuration.set(document);
    EXPECT_EQ(page("/operator/where?x=1")["configurationVersion"], 12);
}

// Guards against a members page from which peridotctl cannot reach instances that the platform's
// list lacks.
TEST_F(operator_service_fixture, statusGivesTheAddressAndStateOfEachMember)
{
    member peer = self;
    peer.id = instance_id("entry-2");
    peer.operators = {"127.0.2.1", 8012};
    peer.state = member_state::Suspect;
    board.members.set(member_map{{peer.id, peer}});
    const json found = page("/operator/status")["members"].at(0);
    EXPECT_EQ(found["id"], "entry-2");
    EXPECT_EQ(found["state"], "suspect");
    EXPECT_EQ(found["operators"], (json{{"address", "127.0.2.1"}, {"port", 8012}}));
}

// Guards against pages that accept writes, and against errors without a remedy.
TEST_F(operator_service_fixture, errorRepliesNameTheRemedy)
{
    const auto written = service->handle({http_method::Post, "/operator/where", {}, "{}"});
    EXPECT_EQ(written.status, 405);
    EXPECT_NE(written.body.find("use GET"), std::string::npos);
    const auto unknown = service->handle({http_method::Get, "/operator", {}, ""});
    EXPECT_EQ(unknown.status, 404);
    EXPECT_NE(unknown.body.find("/operator/timeline"), std::string::npos);
}

// Guards against counters and events that are missing from the pages.
TEST_F(operator_service_fixture, countersAndTimelineAreComplete)
{
    counters.at("query.restarts").add(3);
    EXPECT_EQ(page("/operator/counters")["counters"], (json{{"query.restarts", 3}}));
    timeline_event event;
    event.kind = event_kind::Fault;
    events.sink()(event);
    const auto read = parseTimelinePage(page("/operator/timeline").dump());
    ASSERT_TRUE(read);
    EXPECT_EQ(read.value().process, "entry-1");
    EXPECT_EQ(read.value().events.size(), 1U);
}
