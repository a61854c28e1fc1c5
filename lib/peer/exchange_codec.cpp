#include "peer_types.h"
#include "peridotwheel/peer/exchange.h"

#include <limits>
#include <stdexcept>
#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

namespace peridotwheel {

namespace {

using apache::thrift::transport::TMemoryBuffer;
using protocol = apache::thrift::protocol::TCompactProtocolT<TMemoryBuffer>;

constexpr std::size_t maxIdBytes = 128;
/// Incarnations are below this value: a member refutes a suspicion with a higher incarnation, and
/// at the highest one it never could.
constexpr std::int64_t maxIncarnation = std::int64_t{1} << 62;

void require(bool condition, const char *what)
{
    if (!condition)
        throw std::runtime_error(what);
}

endpoint endpointFrom(const std::string &address, std::int32_t port)
{
    require(!address.empty() && address.size() <= maxIdBytes,
            "address is empty or longer than 128 bytes");
    require(port > 0 && port <= std::numeric_limits<std::uint16_t>::max(),
            "port is not in 1..65535");
    return {address, static_cast<std::uint16_t>(port)};
}

wire::MemberUpdate toWire(const member &m)
{
    wire::MemberUpdate out;
    out.id = m.id.value();
    out.startId = static_cast<std::int64_t>(m.start.value());
    out.incarnation = static_cast<std::int64_t>(m.incarnation);
    out.dataCentre = m.dataCentre.value();
    out.peersAddress = m.peers.address;
    out.peersPort = m.peers.port;
    out.operatorsAddress = m.operators.address;
    out.operatorsPort = m.operators.port;
    out.state = static_cast<std::int32_t>(m.state);
    return out;
}

member fromWire(const wire::MemberUpdate &in)
{
    require(!in.id.empty() && in.id.size() <= maxIdBytes,
            "member id is empty or longer than 128 bytes");
    require(!in.dataCentre.empty() && in.dataCentre.size() <= maxIdBytes,
            "data centre is empty or longer than 128 bytes");
    require(in.incarnation >= 0 && in.incarnation < maxIncarnation,
            "incarnation is negative or not below 2^62");
    require(in.state >= 0 && in.state <= static_cast<std::int32_t>(member_state::Dead),
            "unknown member state");
    member m;
    m.id = instance_id(in.id);
    m.start = start_id(static_cast<std::uint64_t>(in.startId));
    m.incarnation = static_cast<std::uint64_t>(in.incarnation);
    m.dataCentre = data_centre_id(in.dataCentre);
    m.peers = endpointFrom(in.peersAddress, in.peersPort);
    m.operators = endpointFrom(in.operatorsAddress, in.operatorsPort);
    m.state = static_cast<member_state>(in.state);
    return m;
}

exchange fromWire(const wire::Exchange &in)
{
    exchange out;
    out.sender = fromWire(in.sender);
    out.configurationVersion =
            object_version(static_cast<std::uint64_t>(in.digest.configurationVersion));
    out.snapshotVersion = index_version(static_cast<std::uint64_t>(in.digest.snapshotVersion));
    for (const auto &m : in.members)
        out.members.push_back(fromWire(m));
    for (const auto &s : in.serversLeaving) {
        require(!s.id.empty() && s.id.size() <= maxIdBytes,
                "id of a leaving server is empty or longer than 128 bytes");
        out.serversLeaving.push_back(
                {server_id(s.id), start_id(static_cast<std::uint64_t>(s.startId))});
    }
    if (in.__isset.configuration) {
        require(in.configuration.version == in.digest.configurationVersion,
                "configuration version differs from the digest");
        out.configuration = in.configuration.text;
    }
    if (in.__isset.shardMap)
        out.shardMap = in.shardMap;
    return out;
}

} // namespace

std::string encodeExchange(const exchange &message)
{
    wire::Exchange out;
    out.sender = toWire(message.sender);
    out.digest.configurationVersion =
            static_cast<std::int64_t>(message.configurationVersion.value());
    out.digest.snapshotVersion = static_cast<std::int64_t>(message.snapshotVersion.value());
    for (const auto &m : message.members)
        out.members.push_back(toWire(m));
    for (const auto &s : message.serversLeaving) {
        wire::ServerLeaving leavingServer;
        leavingServer.id = s.id.value();
        leavingServer.startId = static_cast<std::int64_t>(s.start.value());
        out.serversLeaving.push_back(std::move(leavingServer));
    }
    if (message.configuration) {
        wire::ConfigurationText text;
        text.version = out.digest.configurationVersion;
        text.text = *message.configuration;
        out.__set_configuration(text);
    }
    if (message.shardMap)
        out.__set_shardMap(*message.shardMap);
    auto buffer = std::make_shared<TMemoryBuffer>();
    protocol writer(buffer);
    out.write(&writer);
    return buffer->getBufferAsString();
}

result<exchange> decodeExchange(const std::string &body)
{
    try {
        require(body.size() <= maxPeerBodyBytes, "message too large");
        auto buffer = std::make_shared<TMemoryBuffer>(
                // The buffer only observes these bytes; Thrift's interface lacks the const.
                reinterpret_cast<std::uint8_t *>(const_cast<char *>(body.data())),
                static_cast<std::uint32_t>(body.size()));
        protocol reader(buffer, static_cast<std::int32_t>(maxPeerTextBytes),
                        static_cast<std::int32_t>(maxPeerListItems));
        wire::Exchange in;
        in.read(&reader);
        return fromWire(in);
    } catch (const std::exception &e) {
        return failure(error_kind::InvalidArgument,
                       std::string("malformed peer message: ") + e.what());
    }
}

} // namespace peridotwheel
