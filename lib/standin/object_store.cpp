#include "object_store.h"

namespace peridotwheel {

const stored_object *object_store::find(const std::string &kind, const std::string &name) const
{
    const auto &objects = list(kind);
    const auto it = objects.find(name);
    return it != objects.end() ? &it->second : nullptr;
}

const object_store::kind_map &object_store::list(const std::string &kind) const
{
    static const kind_map none;
    const auto it = m_kinds.find(kind);
    return it != m_kinds.end() ? it->second : none;
}

bool object_store::permits(const std::string &kind, const std::string &name,
                           const write_precondition &required) const
{
    const stored_object *present = find(kind, name);
    if (required.absent && present != nullptr)
        return false;
    if (!required.version)
        return true;
    return present != nullptr && present->version == *required.version;
}

std::uint64_t object_store::put(const std::string &kind, const std::string &name, std::string value)
{
    const std::uint64_t revision = record(kind, name);
    m_kinds[kind][name] = {revision, std::move(value)};
    return revision;
}

std::uint64_t object_store::remove(const std::string &kind, const std::string &name)
{
    m_kinds[kind].erase(name);
    return record(kind, name);
}

std::uint64_t object_store::record(const std::string &kind, const std::string &name)
{
    m_history.push_back({++m_revision, kind, name});
    while (m_history.size() > m_maxHistory) {
        m_forgotten = m_history.front().revision;
        m_history.pop_front();
    }
    return m_revision;
}

std::optional<std::map<std::string, const stored_object *>>
object_store::changesSince(const std::string &kind, std::uint64_t since) const
{
    if (since < m_forgotten || since > m_revision)
        return std::nullopt;
    std::map<std::string, const stored_object *> changed;
    for (auto it = m_history.rbegin(); it != m_history.rend() && it->revision > since; ++it) {
        if (it->kind == kind)
            changed.emplace(it->name, find(kind, it->name));
    }
    return changed;
}

} // namespace peridotwheel
