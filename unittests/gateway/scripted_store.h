#ifndef PERIDOTWHEEL_UNITTESTS_GATEWAY_SCRIPTED_STORE_H
#define PERIDOTWHEEL_UNITTESTS_GATEWAY_SCRIPTED_STORE_H

#include "peridotwheel/platform/platform_client.h"
#include "peridotwheel/support/manual_loop.h"

#include <map>
#include <string>
#include <vector>

namespace peridotwheel {

/// A store whose lists, watches and faults the test controls.
class scripted_store : public platform_client
{
    using object_map = std::map<std::string, std::map<std::string, platform_object>>;

public:
    struct copy
    {
        object_map objects;
        object_version revision;
    };

    explicit scripted_store(event_loop &loop)
        : m_loop(loop)
    {
    }

    void get(const object_key &, hook<platform_object>) override {}
    void put(const object_key &key, const std::string &value, write_condition,
             hook<object_version> done) override
    {
        writeTimes.push_back(m_loop.now());
        runDelayed([this, key, value, done] {
            write(key.kind, key.name, value);
            done(revision);
        });
    }
    void remove(const object_key &key, object_version, hook<void> done) override
    {
        runDelayed([this, key, done] {
            erase(key.kind, key.name);
            done(success());
        });
    }
    void instances(hook<instance_list>) override {}

    void list(const std::string &kind, hook<watch_result> done) override
    {
        ++listCalls;
        runDelayed([this, kind, done] {
            if (unavailable)
                return done(failure(error_kind::Unavailable, "away"));
            watch_result all;
            all.next = revision;
            for (const auto &[name, object] : objects[kind])
                all.changed.push_back(object);
            done(std::move(all));
        });
    }

    void watch(const std::string &kind, object_version since, duration wait,
               hook<watch_result> done) override
    {
        ++watchCalls;
        if (unavailable) {
            runDelayed([done] { done(failure(error_kind::Unavailable, "away")); });
            return;
        }
        if (dropsReplies) {
            m_timers.push_back(m_loop.schedule(wait + milliseconds(500), [done] {
                done(failure(error_kind::TimedOut, "no reply"));
            }));
            return;
        }
        m_timers.push_back(m_loop.schedule(milliseconds(50), [this, kind, since, done] {
            watch_result changes;
            changes.next = revision;
            changes.compacted = since < compactedBefore;
            for (const auto &[name, object] : objects[kind]) {
                if (object.version > since)
                    changes.changed.push_back(object);
            }
            for (const auto &[at, key] : removals) {
                // Only the last event about an object counts, so an object that was written again
                // is not removed.
                const bool isPresent = objects[kind].count(key.name) != 0;
                if (at > since && key.kind == kind && !isPresent)
                    changes.removed.push_back(key);
            }
            done(std::move(changes));
        }));
    }

    void write(const std::string &kind, const std::string &name, const std::string &value)
    {
        revision = object_version(revision.era(), revision.value() + 1);
        objects[kind][name] = {{kind, name}, revision, value};
    }

    void erase(const std::string &kind, const std::string &name)
    {
        revision = object_version(revision.era(), revision.value() + 1);
        objects[kind].erase(name);
        removals.emplace_back(revision, object_key{kind, name});
    }

    copy takeCopy() const { return {objects, revision}; }

    /// Loses what was written since \p earlier, begins a new era and gives revisions out again.
    void returnFromCopy(const copy &earlier)
    {
        const store_era era(revision.era().value() + 1);
        objects = earlier.objects;
        for (auto &[kind, all] : objects) {
            for (auto &[name, object] : all)
                object.version = object_version(era, object.version.value());
        }
        removals.clear();
        revision = object_version(era, earlier.revision.value());
        compactedBefore = revision;
    }

    object_map objects;
    std::vector<std::pair<object_version, object_key>> removals;
    object_version revision{10};
    /// Watches from before this revision are told that the history was compacted and have to list
    /// again.
    object_version compactedBefore{0};
    bool unavailable = false;
    bool dropsReplies = false;
    int listCalls = 0;
    int watchCalls = 0;
    /// When instances called for a write.
    std::vector<time_point> writeTimes;

private:
    void runDelayed(event_loop::task fn)
    {
        m_timers.push_back(m_loop.schedule(milliseconds(4), std::move(fn)));
    }

    event_loop &m_loop;
    std::vector<timer> m_timers;
};

} // namespace peridotwheel

#endif
