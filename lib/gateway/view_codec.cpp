#include "view_codec.h"

#include "peer_types.h"
#include "peridotwheel/support/compression.h"
#include "peridotwheel/support/endpoint_text.h"
#include "thrift_text.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace peridotwheel {

namespace {

std::int64_t eraOf(object_version version)
{
    return static_cast<std::int64_t>(version.era().value());
}

/// Returns the position of \p revision in \p era; an era that was not sent is 0.
object_version position(std::int64_t era, std::int64_t revision)
{
    return {store_era(static_cast<std::uint64_t>(era)), static_cast<std::uint64_t>(revision)};
}

bool hasEra(object_version version)
{
    return version.era() != store_era();
}

wire::ViewObject toWire(const platform_object &object)
{
    wire::ViewObject out;
    out.name = object.key.name;
    out.version = static_cast<std::int64_t>(object.version.value());
    if (hasEra(object.version))
        out.__set_era(eraOf(object.version));
    out.value = object.value;
    return out;
}

platform_object fromWire(const wire::ViewObject &in, const std::string &kind)
{
    return {{kind, in.name}, position(in.era, in.version), in.value};
}

wire::CompressedObjects toWire(const compressed_objects &list)
{
    wire::CompressedObjects out;
    out.data = list.data;
    out.textBytes = static_cast<std::int32_t>(list.textBytes);
    return out;
}

/// Appends the objects of \p in, which are of kind \p kind, to \p out.
result<void> appendObjects(const wire::CompressedObjects &in, const std::string &kind,
                           std::vector<platform_object> &out)
{
    if (in.textBytes < 0 || static_cast<std::size_t>(in.textBytes) > maxListBytes) {
        return failure(error_kind::InvalidArgument,
                       "the size of a list in the view of another instance is invalid");
    }
    BOOST_OUTCOME_TRY(text, decompress(in.data, static_cast<std::size_t>(in.textBytes)));
    BOOST_OUTCOME_TRY(list, decodeThrift<wire::ViewObjects>(text));
    for (const auto &object : list.objects)
        out.push_back(fromWire(object, kind));
    return success();
}

constexpr double permille = 1000;

std::int32_t toPermille(double value)
{
    return static_cast<std::int32_t>(
            std::min<double>(permille * value, std::numeric_limits<std::int32_t>::max()));
}

std::int32_t toCount(std::uint32_t value)
{
    return static_cast<std::int32_t>(
            std::min<std::uint32_t>(value, std::numeric_limits<std::int32_t>::max()));
}

/// Returns nothing for a value that is no rate.
std::optional<request_rate> toRate(double perSecond)
{
    if (!std::isfinite(perSecond) || perSecond < 0)
        return std::nullopt;
    return request_rate(perSecond);
}

std::vector<wire::ServerReport> toWire(const server_reports &reports)
{
    std::vector<wire::ServerReport> out;
    out.reserve(reports.size());
    for (const auto &[id, samples] : reports) {
        wire::ServerReport &report = out.emplace_back();
        report.server = id.value();
        report.replies = toCount(samples.replies);
        report.slowReplies = toCount(samples.slowReplies);
        report.failures = toCount(samples.failures);
        report.slownessSumPermille = toPermille(samples.slownessSum);
        if (samples.limit)
            report.__set_limitPerSecond(samples.limit->perSecond());
    }
    return out;
}

server_reports fromWire(const std::vector<wire::ServerReport> &in)
{
    const auto count = [](std::int32_t value) {
        return static_cast<std::uint32_t>(std::max(value, 0));
    };
    server_reports out;
    for (const wire::ServerReport &report : in) {
        server_samples &samples = out[server_id(report.server)];
        samples.replies = count(report.replies);
        samples.slowReplies = count(report.slowReplies);
        samples.failures = count(report.failures);
        samples.slownessSum = count(report.slownessSumPermille) / permille;
        if (report.__isset.limitPerSecond)
            samples.limit = toRate(report.limitPerSecond);
    }
    return out;
}

std::vector<wire::ServerHint> toWire(const server_hints &hints)
{
    std::vector<wire::ServerHint> out;
    out.reserve(hints.size());
    for (const auto &[id, hint] : hints) {
        wire::ServerHint &wired = out.emplace_back();
        wired.server = id.value();
        wired.slownessPermille = toPermille(hint.slowness);
        wired.errorPermille = toPermille(hint.errorRate);
        if (hint.limit)
            wired.__set_limitPerSecond(hint.limit->perSecond());
    }
    return out;
}

server_hints fromWire(const std::vector<wire::ServerHint> &in)
{
    server_hints out;
    for (const wire::ServerHint &wired : in) {
        server_hint &hint = out[server_id(wired.server)];
        hint.slowness = std::max(wired.slownessPermille / permille, 1.0);
        hint.errorRate = std::clamp(wired.errorPermille / permille, 0.0, 1.0);
        if (wired.__isset.limitPerSecond)
            hint.limit = toRate(wired.limitPerSecond);
    }
    return out;
}

} // namespace

std::string encodePosition(const view_position &at)
{
    wire::ViewRequest out;
    out.configurationVersion = static_cast<std::int64_t>(at.configuration.value());
    out.serversAt = static_cast<std::int64_t>(at.serversRevision.value());
    out.instancesAt = static_cast<std::int64_t>(at.instancesRevision.value());
    if (hasEra(at.serversRevision))
        out.__set_serversEra(eraOf(at.serversRevision));
    if (hasEra(at.instancesRevision))
        out.__set_instancesEra(eraOf(at.instancesRevision));
    if (at.requesterAddress)
        out.__set_askerAt(endpointText(*at.requesterAddress));
    if (at.reports)
        out.__set_reports(toWire(*at.reports));
    out.__set_fetchesConfiguration(at.fetchesConfiguration);
    out.__set_readsCompressedLists(at.readsCompressedLists);
    if (at.registeredAt) {
        out.__set_registeredAt(static_cast<std::int64_t>(at.registeredAt->value()));
        out.__set_registeredEra(eraOf(*at.registeredAt));
    }
    return encodeThrift(out);
}

result<view_position> decodePosition(const std::string &text)
{
    BOOST_OUTCOME_TRY(in, decodeThrift<wire::ViewRequest>(text));
    view_position out;
    out.configuration = configuration_version(static_cast<std::uint64_t>(in.configurationVersion));
    out.serversRevision = position(in.serversEra, in.serversAt);
    out.instancesRevision = position(in.instancesEra, in.instancesAt);
    if (in.__isset.askerAt)
        out.requesterAddress = parseEndpoint(in.askerAt);
    if (in.__isset.reports)
        out.reports = fromWire(in.reports);
    out.fetchesConfiguration = in.__isset.fetchesConfiguration && in.fetchesConfiguration;
    out.readsCompressedLists = in.__isset.readsCompressedLists && in.readsCompressedLists;
    if (in.__isset.registeredAt)
        out.registeredAt = position(in.registeredEra, in.registeredAt);
    return out;
}

result<compressed_objects> compressObjects(const std::vector<platform_object> &objects)
{
    wire::ViewObjects list;
    list.objects.reserve(objects.size());
    for (const auto &object : objects)
        list.objects.push_back(toWire(object));
    const std::string text = encodeThrift(list);
    compressed_objects out;
    out.textBytes = text.size();
    BOOST_OUTCOME_TRY(data, compress(text));
    out.data = std::move(data);
    return out;
}

std::string encodeSnapshot(const view_snapshot &snapshot)
{
    wire::ViewReply out;
    out.ageMs = std::chrono::duration_cast<milliseconds>(snapshot.age).count();
    out.missingForMs = std::chrono::duration_cast<milliseconds>(snapshot.missingGrace).count();
    out.__set_configurationVersion(
            static_cast<std::int64_t>(snapshot.configurationVersion.value()));
    if (snapshot.configuration)
        out.__set_configuration(toWire(*snapshot.configuration));
    if (snapshot.serversRevision.value() != 0)
        out.__set_serversAt(static_cast<std::int64_t>(snapshot.serversRevision.value()));
    if (hasEra(snapshot.serversRevision))
        out.__set_serversEra(eraOf(snapshot.serversRevision));
    for (const auto &server : snapshot.servers)
        out.servers.push_back(toWire(server));
    if (snapshot.serversSince) {
        out.__set_serversSince(static_cast<std::int64_t>(snapshot.serversSince->value()));
        out.__set_goneServers(snapshot.removedServers);
    }
    if (snapshot.instancesRevision.value() != 0)
        out.__set_instancesAt(static_cast<std::int64_t>(snapshot.instancesRevision.value()));
    if (hasEra(snapshot.instancesRevision))
        out.__set_instancesEra(eraOf(snapshot.instancesRevision));
    for (const auto &instance : snapshot.instances)
        out.instances.push_back(toWire(instance));
    if (snapshot.compressedServers)
        out.__set_compressedServers(toWire(*snapshot.compressedServers));
    if (snapshot.compressedInstances)
        out.__set_compressedInstances(toWire(*snapshot.compressedInstances));
    if (!snapshot.hints.empty())
        out.__set_hints(toWire(snapshot.hints));
    if (snapshot.evacuations) {
        out.__set_evacuationsAt(static_cast<std::int64_t>(snapshot.evacuations->revision.value()));
        if (hasEra(snapshot.evacuations->revision))
            out.__set_evacuationsEra(eraOf(snapshot.evacuations->revision));
        std::vector<std::string> names;
        for (const auto &dataCentre : snapshot.evacuations->dataCentres)
            names.push_back(dataCentre.value());
        out.__set_evacuated(names);
    }
    return encodeThrift(out);
}

result<view_snapshot> decodeSnapshot(const std::string &text, const view_kinds &kinds)
{
    BOOST_OUTCOME_TRY(in, decodeThrift<wire::ViewReply>(text));
    view_snapshot out;
    out.age = milliseconds(std::max<std::int64_t>(in.ageMs, 0));
    out.missingGrace = std::clamp(duration(milliseconds(in.missingForMs)), duration::zero(),
                                  duration(cluster_view::reregistrationGrace));
    if (in.__isset.configurationVersion) {
        out.configurationVersion =
                configuration_version(static_cast<std::uint64_t>(in.configurationVersion));
    }
    if (in.__isset.configuration)
        out.configuration = fromWire(in.configuration, kinds.configuration);
    out.serversRevision = position(in.serversEra, in.__isset.serversAt ? in.serversAt : 0);
    for (const auto &server : in.servers)
        out.servers.push_back(fromWire(server, kinds.servers));
    if (in.__isset.serversSince) {
        out.serversSince = position(in.serversEra, in.serversSince);
        out.removedServers = in.goneServers;
    }
    if (in.__isset.instancesAt)
        out.instancesRevision = position(in.instancesEra, in.instancesAt);
    for (const auto &instance : in.instances)
        out.instances.push_back(fromWire(instance, kinds.instances));
    if (in.__isset.compressedServers) {
        BOOST_OUTCOME_TRYV(appendObjects(in.compressedServers, kinds.servers, out.servers));
    }
    if (in.__isset.compressedInstances) {
        BOOST_OUTCOME_TRYV(appendObjects(in.compressedInstances, kinds.instances, out.instances));
    }
    if (in.__isset.hints)
        out.hints = fromWire(in.hints);
    if (in.__isset.evacuationsAt) {
        out.evacuations.emplace();
        out.evacuations->revision = position(in.evacuationsEra, in.evacuationsAt);
        for (const auto &name : in.evacuated)
            out.evacuations->dataCentres.insert(data_centre_id(name));
    }
    return out;
}

} // namespace peridotwheel
