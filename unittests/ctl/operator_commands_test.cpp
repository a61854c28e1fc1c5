#include "peridotwheel/configuration/configuration_controller.h"
#include "peridotwheel/ctl/commands.h"
#include "peridotwheel/http/http_server.h"
#include "peridotwheel/standin/platform_standin.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>
#include <sstream>

using namespace peridotwheel;
using nlohmann::json;

namespace {

/// The operators' pages of one instance.
struct fake_instance
{
    fake_instance(libevent_loop &loop, std::string name)
        : id(std::move(name))
        , server(loop, {}, [this](const auto &request, const auto &out) {
            out->reply(
                    {200, {}, (request.path == "/operator/timeline" ? timeline : page()).dump()});
        })
    {
        EXPECT_TRUE(server.listen({"127.0.0.1", 0}));
    }

    json page() const
    {
        return {{"instance", id},
                {"configurationVersion", version},
                {"counters", {{"query.restarts", 2}}},
                {"members", members}};
    }
    json asMember(const std::string &state) const
    {
        return {{"id", id},
                {"dataCentre", "dc1"},
                {"operators", {{"address", "127.0.0.1"}, {"port", server.boundPort()}}},
                {"state", state}};
    }

    std::string id;
    int version = 4;
    json members = json::array();
    json timeline = {{"process", id}, {"dropped", 0}, {"events", json::array()}};
    http_server server;
};

class operator_commands_fixture : public testing::Test
{
protected:
    operator_commands_fixture()
    {
        platform_config config;
        config.listLag = duration(0);
        platform.emplace(loop, config);
        EXPECT_TRUE(platform->start());
        fleet.emplace(loop, platform->address(), milliseconds(500));
    }

    void list(const std::string &id, std::uint16_t port)
    {
        const std::string address = "127.0.0.1:" + std::to_string(port);
        const json value = {{"id", id},         {"start", 1},           {"dataCentre", "dc1"},
                            {"peers", address}, {"operators", address}, {"state", "live"}};
        platform->put("instances", id, value.dump());
    }

    operator_commands commands(bool asJson = false)
    {
        out.str("");
        err.str("");
        return {*fleet, fallback, out, err, asJson};
    }
    json printed() const { return json::parse(out.str()); }

    class_spec spec(const std::string &name, double quantile = 0.99) const
    {
        class_spec s;
        s.name = class_name(name);
        s.latencyTarget = milliseconds(140);
        s.quantile = quantile;
        s.coverageTarget = 0.99;
        return s;
    }

    // The platform and the instances share the client's loop, which runs during each command.
    libevent_loop loop;
    std::optional<platform_standin> platform;
    std::optional<fleet_client> fleet;
    std::vector<endpoint> fallback;
    std::ostringstream out;
    std::ostringstream err;
};

} // namespace

// Guards against exit statuses that scripts cannot rely on, and errors without a remedy.
TEST_F(operator_commands_fixture, classesAreSetShownAndDeleted)
{
    EXPECT_EQ(commands().setClass(spec("urgent")), exit_status::Done);
    EXPECT_EQ(commands(true).listClasses(), exit_status::Done);
    EXPECT_EQ(printed()["classes"].at(0)["latencyTargetMs"], 140.0);
    EXPECT_EQ(commands().setClass(spec("urgent", 1.5)), exit_status::BadInput);
    EXPECT_NE(err.str(), "");
    EXPECT_EQ(commands().setWords({"go", "go", "stop", "done"}), exit_status::BadInput);
    EXPECT_EQ(commands().showClass(class_name("none")), exit_status::BadInput);
    EXPECT_NE(err.str().find("class list"), std::string::npos);
    EXPECT_EQ(commands().deleteClass(class_name("none")), exit_status::BadInput);
    EXPECT_EQ(commands().deleteClass(class_name("urgent")), exit_status::Done);
}

// Guards against a client that reports less than the fleet: the platform's list lags, so that it
// lacks instances that have just started and holds ones that have gone.
TEST_F(operator_commands_fixture, whereListsWhatThePlatformOrAPeerKnows)
{
    fake_instance a(loop, "a");
    fake_instance b(loop, "b");
    fake_instance gone(loop, "gone");
    a.members = {a.asMember("alive"), b.asMember("alive"), gone.asMember("dead")};
    b.version = 5;
    gone.server.stopListening();
    list("a", a.server.boundPort());
    EXPECT_EQ(commands(true).where(), exit_status::Done) << err.str();
    const json rows = printed();
    ASSERT_EQ(rows.size(), 3U);
    EXPECT_EQ(rows[0]["onPlatformList"], true);
    EXPECT_EQ(rows[1]["onPlatformList"], false);
    EXPECT_EQ(rows[1]["configurationVersion"], 5);
    EXPECT_EQ(rows[2]["peersSay"], "dead");
    EXPECT_FALSE(rows[2].contains("configurationVersion"));
}

// Guards against versions that are guessed: of an instance that does not answer, and of one whose
// address another instance has taken over.
TEST_F(operator_commands_fixture, anInstanceThatDoesNotAnswerIsNamed)
{
    fake_instance a(loop, "a");
    fake_instance stopped(loop, "stopped");
    stopped.server.stopListening();
    list("a", a.server.boundPort());
    list("former", a.server.boundPort());
    list("stopped", stopped.server.boundPort());
    EXPECT_EQ(commands(true).where(), exit_status::PartialAnswer);
    const json rows = printed();
    ASSERT_EQ(rows.size(), 3U);
    EXPECT_EQ(rows[1]["problem"], "unreachable: its address now belongs to a");
    EXPECT_FALSE(rows[1].contains("configurationVersion"));
    EXPECT_FALSE(rows[2].contains("configurationVersion"));
    EXPECT_EQ(commands(true).counters(), exit_status::PartialAnswer);
    EXPECT_EQ(printed()["sum"]["query.restarts"], 2);
    EXPECT_EQ(commands().timeline({}, operator_commands::timeline_format::Json),
              exit_status::PartialAnswer);
    EXPECT_EQ(printed()["missing"].size(), 2U);
}

// Guards against operators who see nothing of the fleet just when the platform is down, and against
// a change that seems to be accepted then.
TEST_F(operator_commands_fixture, instancesAreFoundByTheFallbackWhileThePlatformIsDown)
{
    fake_instance a(loop, "a");
    fake_instance b(loop, "b");
    a.members = {a.asMember("alive"), b.asMember("suspect")};
    platform_faults faults;
    faults.outage = outage_mode::Dropped;
    platform->setFaults(faults);
    EXPECT_EQ(commands().where(), exit_status::PlatformUnreachable);
    EXPECT_NE(err.str().find("[fallback] operators"), std::string::npos);
    fallback = {{"127.0.0.1", a.server.boundPort()}};
    EXPECT_EQ(commands(true).where(), exit_status::Done);
    EXPECT_EQ(printed().size(), 2U);
    EXPECT_FALSE(printed()[0].contains("onPlatformList")) << "the list was not read";
    EXPECT_NE(err.str().find("[fallback] operators"), std::string::npos);
    EXPECT_EQ(commands().setClass(spec("urgent")), exit_status::PlatformUnreachable);
}
