// A backend server of the review: slots, a short queue, rejections when full, status checks, and
// the second copy of an answer that arrives late, where the next answer is expected.
#pragma once

#include "standin.hpp"

namespace review {

struct server_options
{
    std::string id;
    std::string service;
    int slots = 3;
    int queue = 12;
    int workMs = 60;
    int maxConnections = 110;
    /// Every so many answers, one is sent a second time before the next answer on its connection;
    /// 0 for never.
    int extraCopyEvery = 0;
    /// Copies are made of rejected status checks, up to this part of all answers; 0 for none.
    double extraCheckCopies = 0;
    /// Copies are made only in the first part of each period.
    int extraCopyForMs = 5000;
    int extraCopyPeriodMs = 6000;
    /// Delay of the link to the server, one way.
    int linkDelayMs = 0;
    std::string zone = "zone-1";
    /// Size of an answer's body; 0 for a few words.
    std::size_t bodyBytes = 0;
};

class server
{
public:
    server(server_options options, ledger &l, record &r, unsigned seed)
        : m_options(std::move(options))
        , m_ledger(l)
        , m_record(r)
        , m_random(seed)
        , m_listener([this](std::shared_ptr<socket_stream> s) { serve(*s); })
    {
    }

    int port() const { return m_listener.port(); }
    const server_options &options() const { return m_options; }
    long extraCopies() const { return m_extraCopies; }
    long answers() const { return m_answers; }

    json entry(const char *state = "ready") const
    {
        return {{"service", m_options.service},
                {"addr", "127.0.0.1:" + std::to_string(port())},
                {"zone", m_options.zone},
                {"version", "v1"},
                {"slots", m_options.slots},
                {"state", state},
                {"coldLeftMs", 0},
                {"seq", 1},
                {"born", 1700000000000}};
    }

    /// The server answers nothing while it pauses; requests wait.
    void pauseFor(int milliseconds)
    {
        const std::lock_guard lock(m_mutex);
        m_pausedUntil = clock_type::now() + ms(milliseconds);
    }

    void slowDown(double factor) { m_slowdown = factor; }

private:
    using headers = std::vector<std::pair<std::string, std::string>>;

    void serve(socket_stream &s)
    {
        if (++m_connections > m_options.maxConnections) {
            --m_connections;
            return s.reset();
        }
        std::string extraCopy;
        while (const auto m = s.read(600000)) {
            sleepFor(m_options.linkDelayMs);
            if (!extraCopy.empty()) {
                m_record.line("server " + m_options.id +
                              " sends a second copy before its answer to " + nameOf(*m));
                ++m_extraCopies;
                s.write(std::exchange(extraCopy, ""));
            }
            bool isRejectedCheck = false;
            const std::string answer = handle(*m, isRejectedCheck);
            sleepFor(m_options.linkDelayMs);
            if (!s.write(answer))
                break;
            ++m_answers;
            if (m_options.extraCopyEvery > 0 && isExtraCopyTime() &&
                ++m_answersInTrouble % m_options.extraCopyEvery == 0)
                extraCopy = answer;
            if (isRejectedCheck && isExtraCopyTime() &&
                m_copiedChecks < m_options.extraCheckCopies * m_answers) {
                ++m_copiedChecks;
                extraCopy = answer;
            }
        }
        --m_connections;
    }

    bool isExtraCopyTime() const
    {
        const auto sinceStart =
                std::chrono::duration_cast<ms>(clock_type::now() - m_startedAt).count();
        return sinceStart % m_options.extraCopyPeriodMs < m_options.extraCopyForMs;
    }

    static std::string nameOf(const message &m)
    {
        const std::string id = m.header("X-Peridotwheel-Request-Id");
        return id.empty() ? m.first : id;
    }

    void waitOutPause(std::unique_lock<std::mutex> &lock)
    {
        while (clock_type::now() < m_pausedUntil) {
            const auto until = m_pausedUntil;
            lock.unlock();
            std::this_thread::sleep_until(until);
            lock.lock();
        }
    }

    std::string handle(const message &m, bool &isRejectedCheck)
    {
        const std::string id = m.header("X-Peridotwheel-Request-Id");
        const bool isCheck = m.target() == "/healthz";
        headers echo;
        if (!id.empty())
            echo.emplace_back("X-Peridotwheel-Request-Id", id);
        if (!isCheck) {
            m_record.line("server " + m_options.id + " received " + id);
            const std::string expected = m.header("X-Peridotwheel-Expect-Instance");
            if (!expected.empty() && expected != m_options.id) {
                echo.emplace_back("X-Peridotwheel-Instance-Id", m_options.id);
                return responseText(421, "Misdirected Request", echo, "");
            }
        }
        std::unique_lock lock(m_mutex);
        waitOutPause(lock);
        // A status check waits for a slot or is rejected like any other request.
        if (m_active >= m_options.slots && m_waiting >= m_options.queue) {
            lock.unlock();
            isRejectedCheck = isCheck;
            m_record.line("server " + m_options.id + " is full and rejects " + nameOf(m));
            echo.emplace_back("X-Peridotwheel-Not-Executed", "1");
            return responseText(503, "Service Unavailable", echo, "");
        }
        ++m_waiting;
        m_free.wait(lock, [this] { return m_active < m_options.slots; });
        --m_waiting;
        ++m_active;
        std::uniform_real_distribution<double> spread(0.5, 1.5);
        const double factor = m_slowdown * spread(m_random);
        const int work = isCheck ? 1 : static_cast<int>(m_options.workMs * factor);
        const long seal = m_nextSeal++;
        lock.unlock();
        if (!isCheck) {
            m_record.line("server " + m_options.id + " runs " + id);
            m_ledger.ran(id, m_options.id);
        }
        sleepFor(work);
        lock.lock();
        waitOutPause(lock);
        --m_active;
        m_free.notify_one();
        lock.unlock();
        if (isCheck)
            return responseText(200, "OK", {{"X-Peridotwheel-Instance-Id", m_options.id}}, "");
        echo.emplace_back("X-Peridotwheel-Server-Seal", m_options.id + "." + std::to_string(seal));
        const std::string body = "the answer to " + id;
        return responseText(200, "OK", echo,
                            m_options.bodyBytes == 0 ? body
                                                     : std::string(m_options.bodyBytes, 'x'));
    }

    server_options m_options;
    ledger &m_ledger;
    record &m_record;
    std::mutex m_mutex;
    std::condition_variable m_free;
    std::mt19937 m_random;
    clock_type::time_point m_pausedUntil{};
    int m_active = 0;
    int m_waiting = 0;
    long m_nextSeal = 1;
    clock_type::time_point m_startedAt = clock_type::now();
    std::atomic<long> m_answersInTrouble{0};
    std::atomic<long> m_copiedChecks{0};
    std::atomic<double> m_slowdown{1};
    std::atomic<int> m_connections{0};
    std::atomic<long> m_answers{0};
    std::atomic<long> m_extraCopies{0};
    listener m_listener;
};

} // namespace review
