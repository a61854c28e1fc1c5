#include "peridotwheel/entry/instance_registration.h"

#include "peridotwheel/support/bounded_json.h"
#include "peridotwheel/support/log.h"

#include <algorithm>

namespace peridotwheel {

namespace {

std::string endpointText(const endpoint &e)
{
    return e.address + ":" + std::to_string(e.port);
}

} // namespace

instance_registration::instance_registration(event_loop &loop, platform_client &platform,
                                             std::uint64_t seed, member self,
                                             duration initialBackoff, duration maxBackoff)
    : m_loop(loop)
    , m_platform(platform)
    , m_random(seed)
    , m_self(std::move(self))
    , m_initialBackoff(initialBackoff)
    , m_maxBackoff(maxBackoff)
    , m_this(std::make_shared<instance_registration *>(this))
{
}

void instance_registration::setTarget(target_state newTarget, done_hook done)
{
    m_target = newTarget;
    m_done = std::move(done);
    m_confirmed = false;
    m_backoff = m_initialBackoff;
    read();
}

std::string instance_registration::value() const
{
    const nlohmann::json out = {{"id", m_self.id.value()},
                                {"start", m_self.start.value()},
                                {"dataCentre", m_self.dataCentre.value()},
                                {"peers", endpointText(m_self.peers)},
                                {"operators", endpointText(m_self.operators)},
                                {"state", m_target == target_state::Live ? "live" : "leaving"}};
    return out.dump();
}

void instance_registration::read()
{
    std::weak_ptr<instance_registration *> weak = m_this;
    m_platform.get({"instances", m_self.id.value()},
                   [weak, attempt = ++m_attempt](const result<platform_object> &read) {
                       const auto self = weak.lock();
                       if (self && (*self)->m_attempt == attempt)
                           (*self)->onRead(read);
                   });
}

void instance_registration::onRead(const result<platform_object> &read)
{
    const object_key key{"instances", m_self.id.value()};
    const bool absent = !read && read.error().kind == error_kind::NotFound;
    if (!read && !absent)
        return onWritten(&read.error());
    // Detects an earlier write whose reply was lost. Compares parsed JSON, since the platform may
    // have reordered the fields.
    if (m_target == target_state::Absent
                ? absent
                : read && nlohmann::json::parse(read.value().value, nullptr, false) ==
                                  nlohmann::json::parse(value()))
        return finish();
    std::weak_ptr<instance_registration *> weak = m_this;
    auto done = [weak, attempt = m_attempt](const auto &written) {
        const auto self = weak.lock();
        if (self && (*self)->m_attempt == attempt)
            (*self)->onWritten(written ? nullptr : &written.error());
    };
    if (m_target == target_state::Absent)
        return m_platform.remove(key, read.value().version, done);
    m_platform.put(key, value(),
                   absent ? write_condition::absent() : write_condition::at(read.value().version),
                   done);
}

void instance_registration::onWritten(const error *problem)
{
    if (problem == nullptr)
        return finish();
    LOG(WARNING) << "event=registration-failed kind=" << toString(problem->kind)
                 << " reason=" << logValue(problem->message);
    const auto delay = duration(static_cast<duration::rep>(static_cast<double>(m_backoff.count()) *
                                                           (0.5 + m_random.fraction())));
    m_backoff = std::min(m_backoff * 2, m_maxBackoff);
    m_timer = m_loop.schedule(delay, [this] { read(); });
}

void instance_registration::finish()
{
    m_confirmed = true;
    if (auto done = std::exchange(m_done, nullptr))
        done();
}

} // namespace peridotwheel
