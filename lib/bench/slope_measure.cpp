#include "slope_list.h"

#include <malloc.h>

namespace peridotwheel {

namespace {

constexpr std::size_t dataCentres = 10;
constexpr std::size_t services = 1000;

std::string numbered(const std::string &prefix, std::size_t i)
{
    const std::string digits = std::to_string(i);
    return prefix + std::string(digits.size() < 5 ? 5 - digits.size() : 0, '0') + digits;
}

std::string fleetAddress(std::size_t network, std::size_t i)
{
    return "10." + std::to_string(network) + "." + std::to_string(i / 250) + "." +
           std::to_string(1 + i % 250);
}

double headerBytes(const http_headers &headers)
{
    std::size_t bytes = 0;
    for (const auto &[name, value] : headers)
        bytes += name.size() + value.size() + 4;
    return static_cast<double>(bytes);
}

} // namespace

std::vector<slope_point> pointsAt(const std::vector<std::size_t> &sizes,
                                  const std::function<double(std::size_t)> &measure)
{
    std::vector<slope_point> out;
    out.reserve(sizes.size());
    for (const std::size_t size : sizes)
        out.push_back({static_cast<double>(size), measure(size)});
    return out;
}

double cpuMicroseconds(const std::function<void()> &work)
{
    const duration before = threadCpuTime();
    work();
    return static_cast<double>((threadCpuTime() - before).count());
}

double heapBytes()
{
    const auto info = mallinfo2();
    return static_cast<double>(info.uordblks + info.hblkhd);
}

member fleetMember(std::size_t i)
{
    member m;
    m.id = instance_id(numbered("entry-", i));
    m.start = start_id(0x5eed000000000000 + i);
    m.incarnation = 1;
    m.dataCentre = data_centre_id(numbered("dc-", i % dataCentres));
    m.peers = {fleetAddress(20, i), 7001};
    m.operators = {fleetAddress(20, i), 7002};
    return m;
}

server_record fleetServer(std::size_t i)
{
    server_record s;
    s.id = server_id(numbered("server-", i));
    s.start = start_id(0x5eed000000000000 + i);
    s.service = service_name(numbered("service-", i % services));
    s.dataCentre = data_centre_id(numbered("dc-", i % dataCentres));
    s.address = {fleetAddress(30, i), 9000};
    s.connectionLimit = 25;
    return s;
}

double wireBytes(const http_request &request)
{
    const std::string added = request.path +
                              "POST  HTTP/1.1\r\nHost: 10.20.30.40:7001\r\n"
                              "Content-Length: 1000\r\nConnection: keep-alive\r\n\r\n";
    return static_cast<double>(added.size() + request.body.size()) + headerBytes(request.headers);
}

double wireBytes(const http_reply &reply)
{
    const std::string added = "HTTP/1.1 200 OK\r\nContent-Length: 1000\r\n"
                              "Date: Mon, 01 Jan 2024 00:00:00 GMT\r\n\r\n";
    return static_cast<double>(added.size() + reply.body.size()) + headerBytes(reply.headers);
}

} // namespace peridotwheel
