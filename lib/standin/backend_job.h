#ifndef PERIDOTWHEEL_LIB_STANDIN_BACKEND_JOB_H
#define PERIDOTWHEEL_LIB_STANDIN_BACKEND_JOB_H

#include "peridotwheel/support/event_loop.h"
#include "peridotwheel/support/ids.h"

#include <list>
#include <string>

struct evhttp_request;

namespace peridotwheel {

struct standin_connection;

enum class job_state { Travelling, Queued, Running, Returning, Silent };

/// One `/search` or `/run` request at a stand-in server.
struct backend_job
{
    evhttp_request *request = nullptr; ///< Null once answered or once the client has gone.
    standin_connection *connection = nullptr;
    job_state state = job_state::Travelling;
    bool run = false;
    bool remote = false;
    std::string attempt;
    std::string requestId;
    std::string shardList;
    std::string query;
    index_version version;
    time_point deadline = time_point::max();
    timer step;
    std::list<backend_job>::iterator self;
};

} // namespace peridotwheel

#endif
