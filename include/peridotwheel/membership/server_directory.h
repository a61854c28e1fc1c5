#ifndef PERIDOTWHEEL_MEMBERSHIP_SERVER_DIRECTORY_H
#define PERIDOTWHEEL_MEMBERSHIP_SERVER_DIRECTORY_H

#include "peridotwheel/membership/member.h"
#include "peridotwheel/membership/update_queue.h"

#include <vector>

namespace peridotwheel {

/// States that one run of one server is leaving. A run never stops leaving, so sets of these merge
/// by union.
struct server_leaving
{
    server_id id;
    start_id start;

    friend bool operator<(const server_leaving &a, const server_leaving &b)
    {
        return a.id != b.id ? a.id < b.id : a.start < b.start;
    }
    friend bool operator==(const server_leaving &a, const server_leaving &b)
    {
        return a.id == b.id && a.start == b.start;
    }
};

/// The backend servers of the platform's list, merged with the runs that are known to be leaving.
/// Only the list adds servers.
///
/// Size: about 250 bytes for each server of the list and 100 for each leaving one; at most
/// `maxLeaving` of the latter.
class server_directory
{
public:
    /// All servers of a data centre (4,100 at full size) may leave at once.
    static constexpr std::size_t maxLeaving = 8192;
    /// A server is removed after it was missing from this many lists in a row, since the list lags
    /// and a stale read may lack the server.
    static constexpr unsigned absencesUntilRemoved = 3;
    /// A leaving run that the list does not hold is kept for this many lists, as it may become
    /// known before the list shows it.
    static constexpr unsigned listsUntilExpired = 300;

    /// Returns whether the records have changed.
    bool applyList(const std::vector<server_record> &list, unsigned transmits);
    /// Returns whether \p run was unknown and has been stored.
    bool noteLeaving(const server_leaving &run, unsigned transmits);

    /// Returns leaving runs for one message: recently learned ones first, then others in
    /// round-robin order.
    std::vector<server_leaving> updatesForMessage(std::size_t maxRecent, std::size_t maxRepeated);

    const server_map &servers() const { return m_servers; }
    std::size_t leavingCount() const { return m_leaving.size(); }

private:
    bool isLeaving(const server_record &s) const;
    void expireLeaving();

    server_map m_servers;
    std::map<server_id, unsigned> m_absences;
    /// Known leaving runs, with the number of lists read since the list last held the run.
    std::map<server_leaving, unsigned> m_leaving;
    update_queue<server_leaving> m_recent;
    server_leaving m_cursor;
};

} // namespace peridotwheel

#endif
