// The cases of review/6 to review/10 that are scripts: one subcommand each.

#include "world.hpp"

#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <iostream>

using namespace review;

namespace {

bool withTrouble()
{
    const char *value = std::getenv("TROUBLE");
    return value == nullptr || std::strcmp(value, "0") != 0;
}

json service(const std::string &name, unsigned maxConnections = 110)
{
    return {{"name", name}, {"healthPath", "/healthz"}, {"maxConns", maxConnections}};
}

json tenant(const std::string &name, double rate, double burst)
{
    return {{"name", name}, {"apiKeys", {"key-" + name}}, {"ratePerS", rate}, {"burst", burst}};
}

json route(const std::string &prefix, const std::string &to, unsigned maxAttempts)
{
    return {{"prefix", prefix},
            {"kind", "idempotent"},
            {"service", to},
            {"maxAttempts", maxAttempts}};
}

/// Three gateways, one in each zone, that start together.
void startThree(world &w)
{
    w.startGateway("front-yard-a-1", "yard-a", true);
    w.startGateway("front-yard-b-1", "yard-b", true);
    w.startGateway("front-yard-c-1", "yard-c", true);
}

void requireReady(world &w, double at)
{
    w.at(at, [&w] {
        if (!w.areAllReady())
            w.giveUp("not all gateways are ready in time");
    });
}

double allowedIn(const world &w, double rate, double burst)
{
    const bounds &b = w.limits();
    return (rate * b.quotaWindowS + burst) * (1 + b.quotaExcess) + b.quotaSlack;
}

int judgeQuota(world &w, const std::string &name, double rate, double burst, double from)
{
    const auto [most, start] = busiestWindow(w, name, w.limits().quotaWindowS, from);
    const double allowed = allowedIn(w, rate, burst);
    char text[200];
    std::snprintf(text, sizeof text,
                  "QUOTA: %zu requests of tenant %s were sent and run in %.0f s from %.3f s; "
                  "allowed %.1f",
                  most, name.c_str(), w.limits().quotaWindowS, start, allowed);
    return w.finish(static_cast<double>(most) > allowed, text);
}

/// A machine is added while a tenant asks for more than its limit.
int addedMachine(const std::string &directory)
{
    // A name whose tokens the added machine hands out, as for about one tenant in four.
    const std::string name = "mauer-3";
    constexpr double rate = 40;
    constexpr double burst = 20;
    world w(directory, 6);
    if (!w.listen())
        w.giveUp("the store cannot listen or the gateway is not built");
    for (const char *zone : {"yard-a", "yard-b", "yard-c"})
        w.addServer("booking-desk", zone);
    w.writeConfiguration({route("/desk/", "booking-desk", 2)}, {service("booking-desk")},
                         {tenant(name, rate, burst)});
    startThree(w);
    requireReady(w, 9.5);
    w.sendSteadily("yard-a", name, "/desk/", 80, 10, 40);
    w.sendSteadily("yard-b", name, "/desk/", 40, 10, 40);
    w.sendSteadily("yard-c", name, "/desk/", 40, 10, 40);
    if (withTrouble())
        w.at(11, [&w] { w.startGateway("front-yard-a-2", "yard-a", false); });
    w.run(42);
    return judgeQuota(w, name, rate, burst, 10);
}

/// The limit of a tenant is lowered while the tenant pauses.
int loweredLimit(const std::string &directory)
{
    const std::string name = "mauer";
    constexpr double rate = 200;
    constexpr double burst = 200;
    const bool isLowered = withTrouble();
    const double newRate = isLowered ? 2 : rate;
    const double newBurst = isLowered ? 2 : burst;
    world w(directory, 7);
    if (!w.listen())
        w.giveUp("the store cannot listen or the gateway is not built");
    for (const char *zone : {"yard-a", "yard-b", "yard-c"})
        w.addServer("booking-desk", zone);
    const auto write = [&w, &name](double r, double b) {
        w.writeConfiguration({route("/desk/", "booking-desk", 2)}, {service("booking-desk")},
                             {tenant(name, r, b)});
    };
    write(rate, burst);
    startThree(w);
    requireReady(w, 9.5);
    for (const char *zone : {"yard-a", "yard-b", "yard-c"}) {
        w.sendSteadily(zone, name, "/desk/", 40, 10, 16);
        // Many users of the tenant come at once.
        w.at(29, [&w, &name, zone] {
            for (int i = 0; i < 60; ++i)
                w.sendToZone(zone, name, "/desk/");
        });
    }
    constexpr double loweredAt = 17;
    if (isLowered)
        w.at(loweredAt, [&] { write(newRate, newBurst); });
    w.run(36);
    // The lower limit binds one window after all gateways had configApplyMs for it.
    const double bindsFrom =
            loweredAt + w.limits().configApplyMs / 1000.0 + w.limits().quotaWindowS;
    return judgeQuota(w, name, newRate, newBurst, bindsFrom);
}

/// The gateway that hands out a tenant's tokens is killed and starts again while the tenant pauses.
int killedHolder(const std::string &directory)
{
    // A name whose tokens the gateway below hands out, as for one tenant in three.
    const std::string name = "mauer-1";
    const std::string holder = "front-yard-a-1";
    constexpr double rate = 15;
    constexpr double burst = 300;
    world w(directory, 9);
    if (!w.listen())
        w.giveUp("the store cannot listen or the gateway is not built");
    for (const char *zone : {"yard-a", "yard-b", "yard-c"})
        w.addServer("booking-desk", zone);
    w.writeConfiguration({route("/desk/", "booking-desk", 2)}, {service("booking-desk")},
                         {tenant(name, rate, burst)});
    startThree(w);
    requireReady(w, 9.5);
    for (const char *zone : {"yard-b", "yard-c"}) {
        w.sendSteadily(zone, name, "/desk/", 80, 30, 31);
        w.at(53, [&w, &name, zone] {
            for (int i = 0; i < 40; ++i)
                w.sendToZone(zone, name, "/desk/");
        });
        w.sendSteadily(zone, name, "/desk/", 90, 53.1, 58.1);
    }
    if (withTrouble())
        w.at(32, [&w, &holder] { w.killGateway(holder); });
    w.run(60);
    return judgeQuota(w, name, rate, burst, 10);
}

/// Servers run requests and lose their answers, with an end of the connection, while clients come
/// in bursts.
int lostAnswers(const std::string &directory)
{
    constexpr unsigned maxAttempts = 2;
    world w(directory, 8);
    if (!w.listen())
        w.giveUp("the store cannot listen or the gateway is not built");
    std::vector<server *> servers;
    for (int i = 0; i < 2; ++i) {
        for (const char *zone : {"yard-a", "yard-b", "yard-c"})
            servers.push_back(&w.addServer("booking-desk", zone));
    }
    w.writeConfiguration({route("/desk/", "booking-desk", maxAttempts)}, {service("booking-desk")},
                         json::array());
    startThree(w);
    requireReady(w, 9.5);
    constexpr int bursts = 22;
    constexpr int inBurst = 60;
    for (int burst = 0; burst < bursts; ++burst) {
        w.at(12.5 + 4 * burst, [&w] {
            for (const char *zone : {"yard-a", "yard-b", "yard-c"}) {
                for (int i = 0; i < inBurst; ++i)
                    w.sendToZone(zone, "", "/desk/");
            }
        });
    }
    // Half of the servers lose 0.4 of their answers for 4 s, and then other ones do.
    for (int turn = 0; withTrouble() && turn < bursts; ++turn) {
        w.at(12 + 4 * turn, [&w, &servers, turn] {
            for (server *s : servers)
                s->setLostShare(0);
            for (std::size_t i = 0; i < servers.size() / 2; ++i)
                servers[(2 * i + static_cast<std::size_t>(turn)) % servers.size()]->setLostShare(
                        0.4);
            w.note("half of the servers lose 0.4 of their answers for 4 s");
        });
    }
    w.run(104);
    std::size_t beyond = 0;
    std::size_t most = 0;
    for (const auto &r : w.requests()) {
        std::set<std::string> where;
        for (const auto &[id, at] : r->runs)
            where.insert(id);
        most = std::max(most, where.size());
        beyond += where.size() > maxAttempts ? 1 : 0;
    }
    return w.finish(beyond > 3, "BUDGET: " + std::to_string(beyond) + " of " +
                                        std::to_string(w.requests().size()) +
                                        " requests ran on more servers than the maxAttempts " +
                                        std::to_string(maxAttempts) +
                                        " of their route; the most: " + std::to_string(most));
}

/// A version withdraws the key of one tenant and adds another tenant, whose name has a blank.
int blankInName(const std::string &directory)
{
    world w(directory, 10);
    if (!w.listen())
        w.giveUp("the store cannot listen or the gateway is not built");
    for (const char *zone : {"yard-a", "yard-b", "yard-c"})
        w.addServer("booking-desk", zone);
    const auto write = [&w](const json &tenants) {
        w.writeConfiguration({route("/desk/", "booking-desk", 2)}, {service("booking-desk")},
                             tenants);
    };
    const auto holder = [](const std::string &name, const json &keys) {
        return json{{"name", name}, {"apiKeys", keys}};
    };
    write({holder("mauer", {"key-mauer"}), holder("former", {"key-former"})});
    startThree(w);
    requireReady(w, 9.5);
    constexpr double changedAt = 12;
    const char *added = withTrouble() ? "Caerwyn Lending" : "Caerwyn-Lending";
    w.at(changedAt, [&] {
        write({holder("mauer", {"key-mauer"}), holder("former", json::array()),
               holder(added, {"key-caerwyn"})});
    });
    const double appliesFrom = changedAt + w.limits().configApplyMs / 1000.0;
    for (const char *zone : {"yard-a", "yard-b", "yard-c"}) {
        for (const char *who : {"mauer", "former"})
            w.sendSteadily(zone, who, "/desk/", 5, 10, 30);
        w.sendSteadily(zone, "caerwyn", "/desk/", 5, appliesFrom + 1, 30);
    }
    w.run(34);
    std::size_t withFormerKey = 0;
    std::size_t refused = 0;
    for (const auto &r : w.requests()) {
        if (r->sentAt < appliesFrom + 1)
            continue;
        withFormerKey += r->tenant == "former" && !r->runs.empty() ? 1 : 0;
        refused += r->tenant == "caerwyn" && r->status == 401 ? 1 : 0;
    }
    return w.finish(
            withFormerKey + refused > 0,
            "CONFIG: later than configApplyMs after the version, " + std::to_string(withFormerKey) +
                    " requests ran with the key that it withdrew, and " + std::to_string(refused) +
                    " with the key that it added were refused with 401");
}

} // namespace

int main(int argc, char **argv)
{
    const std::string name = argc > 2 ? argv[1] : "";
    const std::string directory = argc > 2 ? argv[2] : "";
    if (name == "added-machine")
        return addedMachine(directory);
    if (name == "lowered-limit")
        return loweredLimit(directory);
    if (name == "killed-holder")
        return killedHolder(directory);
    if (name == "blank-in-name")
        return blankInName(directory);
    if (name == "lost-answers")
        return lostAnswers(directory);
    std::cerr << "usage: cases "
                 "added-machine|lowered-limit|killed-holder|blank-in-name|lost-answers FOLDER\n";
    return 2;
}
