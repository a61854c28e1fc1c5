#ifndef PERIDOTWHEEL_LIB_STANDIN_OBJECT_STORE_H
#define PERIDOTWHEEL_LIB_STANDIN_OBJECT_STORE_H

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>

namespace peridotwheel {

struct stored_object
{
    std::uint64_t version = 0;
    std::string value; ///< JSON text.
};

/// What a write requires of the present object.
struct write_precondition
{
    std::optional<std::uint64_t> version; ///< `If-Match`
    bool absent = false;                  ///< `If-None-Match: *`
};

/// The versioned objects of the platform stand-in with a bounded history. One revision rises with
/// every write of any kind; the version of an object is the revision of its last write.
class object_store
{
public:
    using kind_map = std::map<std::string, stored_object>;

    explicit object_store(std::size_t maxHistory)
        : m_maxHistory(maxHistory)
    {
    }

    const stored_object *find(const std::string &kind, const std::string &name) const;
    const kind_map &list(const std::string &kind) const;
    std::uint64_t revision() const { return m_revision; }

    bool permits(const std::string &kind, const std::string &name,
                 const write_precondition &required) const;
    /// Writes without a check and returns the new revision.
    std::uint64_t put(const std::string &kind, const std::string &name, std::string value);
    std::uint64_t remove(const std::string &kind, const std::string &name);

    /// Names of \p kind written after \p since, each with its present object or null if removed.
    /// None if the history does not reach back that far or \p since lies in the future.
    std::optional<std::map<std::string, const stored_object *>>
    changesSince(const std::string &kind, std::uint64_t since) const;

private:
    struct change
    {
        std::uint64_t revision = 0;
        std::string kind;
        std::string name;
    };

    std::uint64_t record(const std::string &kind, const std::string &name);

    std::size_t m_maxHistory;
    std::uint64_t m_revision = 0;
    std::uint64_t m_forgotten = 0; ///< Latest revision that is no longer in the history.
    std::map<std::string, kind_map> m_kinds;
    std::deque<change> m_history;
};

} // namespace peridotwheel

#endif
