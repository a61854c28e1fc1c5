#include "peridotwheel/configuration/configuration_document.h"

#include <algorithm>
#include <cctype>

namespace peridotwheel {

namespace {

constexpr std::size_t maxClasses = 64;
constexpr std::size_t maxNameBytes = 64;
constexpr std::size_t maxWordBytes = 32;
constexpr std::size_t maxSummaryBytes = 256;
constexpr duration minLatencyTarget = milliseconds(1);
constexpr duration maxLatencyTarget = std::chrono::hours(1);
constexpr std::uint32_t maxRank = 1000;

auto invalid(std::string message)
{
    return failure(error_kind::InvalidArgument, std::move(message));
}

bool isNameCharacter(char c)
{
    return std::isalnum(static_cast<unsigned char>(c)) != 0 || c == '-' || c == '_' || c == '.';
}

result<void> checkName(const std::string &name)
{
    if (name.empty() || name.size() > maxNameBytes ||
        !std::all_of(name.begin(), name.end(), isNameCharacter))
        return invalid("class name '" + name.substr(0, maxNameBytes) +
                       "': use 1 to 64 letters, digits, '-', '_' or '.'");
    return success();
}

result<void> checkClass(const class_spec &spec)
{
    BOOST_OUTCOME_TRYV(checkName(spec.name.value()));
    const std::string where = "class '" + spec.name.value() + "': ";
    if (spec.latencyTarget < minLatencyTarget || spec.latencyTarget > maxLatencyTarget)
        return invalid(where + "latency target " +
                       std::to_string(toMilliseconds(spec.latencyTarget)) +
                       " ms is out of range; set 1 ms to 1 h");
    // The conditions are negated so that NaN is rejected too.
    if (!(spec.quantile > 0.0 && spec.quantile < 1.0))
        return invalid(where + "quantile " + std::to_string(spec.quantile) +
                       " is out of range; set a number above 0 and below 1, such as 0.99");
    if (!(spec.coverageTarget > 0.0 && spec.coverageTarget <= 1.0))
        return invalid(where + "coverage target " + std::to_string(spec.coverageTarget) +
                       " is out of range; set a share above 0 and up to 1, such as 0.95");
    if (spec.rank.value() > maxRank)
        return invalid(where + "rank " + std::to_string(spec.rank.value()) +
                       " is out of range; set 0 (most urgent) to 1000");
    return success();
}

/// Two classes of one rank would have no defined order under overload.
result<void> checkRanks(const configuration_document &document)
{
    std::map<class_rank, class_name> byRank;
    for (const auto &[name, spec] : document.classes) {
        const auto [other, isNew] = byRank.emplace(spec.rank, name);
        if (!isNew)
            return invalid("classes '" + other->second.value() + "' and '" + name.value() +
                           "' both have rank " + std::to_string(spec.rank.value()) +
                           "; give each class its own rank");
    }
    return success();
}

result<void> checkWord(const char *verdict, const std::string &word)
{
    const auto printable = [](char c) { return c >= ' ' && c <= '~'; };
    const bool sized = !word.empty() && word.size() <= maxWordBytes;
    if (!sized || !std::all_of(word.begin(), word.end(), printable) || word.front() == ' ' ||
        word.back() == ' ' || word.find(':') != std::string::npos)
        return invalid(std::string("status word for ") + verdict +
                       ": use 1 to 32 printable ASCII characters without ':' and without blanks at "
                       "the ends");
    return success();
}

bool startsWith(const std::string &text, const std::string &start)
{
    return text.compare(0, start.size(), start) == 0;
}

result<void> checkWords(const status_words &words)
{
    const std::pair<const char *, const std::string *> all[] = {{"retry", &words.retry},
                                                                {"wait", &words.wait},
                                                                {"giveUp", &words.giveUp},
                                                                {"done", &words.done}};
    for (const auto &[verdict, word] : all) {
        BOOST_OUTCOME_TRYV(checkWord(verdict, *word));
    }
    for (const auto &[verdict, word] : all) {
        for (const auto &[otherVerdict, other] : all) {
            if (word != other && startsWith(*other, *word))
                return invalid(std::string("status words for ") + verdict + " and " + otherVerdict +
                               ": '" + *word + "' is the beginning of '" + *other +
                               "'; scripts compare the start of the line, so change one of them");
        }
    }
    return success();
}

result<void> checkChanges(const configuration_document &document)
{
    if (document.changes.size() > maxChangeRecords)
        return invalid("the document holds " + std::to_string(document.changes.size()) +
                       " change records; keep the latest " + std::to_string(maxChangeRecords));
    for (const auto &change : document.changes) {
        if (change.changeId.empty() || change.changeId.size() > maxNameBytes ||
            change.summary.size() > maxSummaryBytes)
            return invalid("change record '" + change.changeId.substr(0, maxNameBytes) +
                           "': use an id of 1 to 64 bytes and a summary of at most 256 bytes");
    }
    return success();
}

} // namespace

result<void> validate(const configuration_document &document)
{
    if (document.classes.size() > maxClasses)
        return invalid("the document holds " + std::to_string(document.classes.size()) +
                       " classes; delete some, at most " + std::to_string(maxClasses) +
                       " are allowed");
    for (const auto &[name, spec] : document.classes) {
        if (name != spec.name)
            return invalid("class '" + spec.name.value() + "' is stored under the name '" +
                           name.value() + "'; use one name");
        BOOST_OUTCOME_TRYV(checkClass(spec));
    }
    BOOST_OUTCOME_TRYV(checkRanks(document));
    BOOST_OUTCOME_TRYV(checkWords(document.words));
    return checkChanges(document);
}

} // namespace peridotwheel
