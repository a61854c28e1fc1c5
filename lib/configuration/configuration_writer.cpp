#include "peridotwheel/configuration/configuration_writer.h"

#include "peridotwheel/configuration/configuration_controller.h"

#include <algorithm>
#include <optional>

namespace peridotwheel {

namespace {

std::string toHexadecimal(std::uint64_t value)
{
    static const char digits[] = "0123456789abcdef";
    std::string out(16, '0');
    for (std::size_t i = 16; i > 0; value >>= 4U)
        out[--i] = digits[value & 15U];
    return out;
}

/// One change in progress, kept alive by the hooks of its platform calls and its timer.
class change_operation : public std::enable_shared_from_this<change_operation>
{
public:
    change_operation(event_loop &loop, platform_client &platform,
                     configuration_writer_options options, configuration_change change,
                     std::string changeId, configuration_writer::done_hook done)
        : m_loop(loop)
        , m_platform(platform)
        , m_options(options)
        , m_change(std::move(change))
        , m_changeId(std::move(changeId))
        , m_done(std::move(done))
        , m_backoff(options.initialBackoff)
    {
    }

    void read()
    {
        m_platform.get(configurationKey,
                       [self = shared_from_this()](auto read) { self->onRead(std::move(read)); });
    }

private:
    void onRead(result<platform_object> read);
    void onDocument(configuration_document document, bool exists);
    void onWritten(const result<object_version> &written);
    void retryOrFail(error problem);
    bool holdsChange(const configuration_document &document) const;
    error conflictError(const configuration_document &document) const;

    event_loop &m_loop;
    platform_client &m_platform;
    configuration_writer_options m_options;
    configuration_change m_change;
    std::string m_changeId;
    configuration_writer::done_hook m_done;
    duration m_backoff;
    unsigned m_attempt = 0;
    /// The part as it was when this change first read it.
    std::optional<std::string> m_basePart;
    /// Id of the latest change in the document at that time.
    std::string m_baseChangeId;
    /// A write was sent whose outcome is unknown.
    bool m_mayBeWritten = false;
    timer m_timer;
};

bool change_operation::holdsChange(const configuration_document &document) const
{
    return std::any_of(document.changes.begin(), document.changes.end(),
                       [&](const auto &c) { return c.changeId == m_changeId; });
}

void change_operation::onRead(result<platform_object> read)
{
    if (!read && read.error().kind == error_kind::NotFound)
        return onDocument({}, false);
    if (!read)
        return retryOrFail(read.error());
    auto document = configurationFromJson(read.value().value, read.value().version);
    if (!document)
        return m_done(
                failure(document.error().kind,
                        "the stored configuration cannot be read, repair it at the platform: " +
                                document.error().message));
    onDocument(std::move(document).value(), true);
}

void change_operation::onDocument(configuration_document document, bool exists)
{
    // A write whose reply was lost is recognised by its change id.
    if (m_mayBeWritten && holdsChange(document))
        return m_done(document.version);
    const std::string part = m_change.affectedPart(document);
    if (!m_basePart) {
        m_basePart = part;
        m_baseChangeId = document.changes.empty() ? "" : document.changes.back().changeId;
    } else if (part != *m_basePart) {
        return m_done(conflictError(document));
    }
    if (auto applied = m_change.apply(document); !applied)
        return m_done(applied.error());
    document.changes.push_back({m_changeId, m_change.summary});
    if (document.changes.size() > maxChangeRecords)
        document.changes.erase(document.changes.begin(), document.changes.end() - maxChangeRecords);
    if (auto valid = validate(document); !valid)
        return m_done(valid.error());
    const auto condition =
            exists ? write_condition::at(document.version) : write_condition::absent();
    m_platform.put(configurationKey, toJson(document), condition,
                   [self = shared_from_this()](const auto &written) { self->onWritten(written); });
}

void change_operation::onWritten(const result<object_version> &written)
{
    if (written)
        return m_done(written.value());
    switch (written.error().kind) {
    case error_kind::OutcomeUnknown:
        m_mayBeWritten = true;
        return retryOrFail(written.error());
    case error_kind::Conflict:
    case error_kind::Unavailable:
        return retryOrFail(written.error());
    default:
        return m_done(written.error());
    }
}

/// Reads the document again after a delay, which shows whether the write took effect or another
/// change came first. Fails the change after `maxAttempts` failed calls.
void change_operation::retryOrFail(error problem)
{
    if (++m_attempt >= m_options.maxAttempts) {
        if (m_mayBeWritten)
            problem = {error_kind::OutcomeUnknown,
                       "the change '" + m_changeId +
                               "' may have been written; show the configuration before you repeat "
                               "it (" +
                               problem.message + ")"};
        return m_done(std::move(problem));
    }
    m_timer = m_loop.schedule(m_backoff, [self = shared_from_this()] {
        // Breaks the reference cycle between the timer and this object.
        const timer expired = std::move(self->m_timer);
        self->read();
    });
    m_backoff = std::min(m_backoff * 2, m_options.maxBackoff);
}

error change_operation::conflictError(const configuration_document &document) const
{
    // Any change after the base may have caused the conflict; the last one determined the present
    // document.
    auto it = std::find_if(document.changes.begin(), document.changes.end(),
                           [&](const auto &c) { return c.changeId == m_baseChangeId; });
    it = it == document.changes.end() ? document.changes.begin() : std::next(it);
    std::string others;
    for (; it != document.changes.end(); ++it) {
        others += others.empty() ? "" : ", ";
        others += "'" + it->summary + "' (" + it->changeId + ")";
    }
    return {error_kind::Conflict,
            "another change came first: " + (others.empty() ? "unknown" : others) +
                    "; show the configuration and repeat your change if it still applies"};
}

} // namespace

configuration_writer::configuration_writer(event_loop &loop, platform_client &platform,
                                           std::uint64_t seed, configuration_writer_options options)
    : m_loop(loop)
    , m_platform(platform)
    , m_random(seed)
    , m_options(options)
{
}

void configuration_writer::write(configuration_change change, done_hook done)
{
    std::make_shared<change_operation>(m_loop, m_platform, m_options, std::move(change),
                                       toHexadecimal(m_random.next()), std::move(done))
            ->read();
}

} // namespace peridotwheel
