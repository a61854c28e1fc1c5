#ifndef PERIDOTWHEEL_CONFIGURATION_CONFIGURATION_DOCUMENT_H
#define PERIDOTWHEEL_CONFIGURATION_CONFIGURATION_DOCUMENT_H

#include "peridotwheel/configuration/class_spec.h"
#include "peridotwheel/support/error.h"

#include <map>
#include <string>
#include <vector>

namespace peridotwheel {

/// First words of the status text for each verdict. No two may be equal and none may be a prefix of
/// another, since callers' scripts compare the start of the line.
struct status_words
{
    std::string retry = "retry";
    std::string wait = "wait";
    std::string giveUp = "give up";
    std::string done = "done";
};

/// One accepted change, kept so that a writer whose reply was lost can find out whether its change
/// was stored.
struct change_record
{
    std::string changeId;
    /// What was changed, for an operator whose change conflicts with it: "set class urgent".
    std::string summary;
};

/// All classes and status words. It is one object in the platform's API, so that a change takes
/// effect as a whole and one version orders all changes.
struct configuration_document
{
    /// Platform revision of the object; 0 if none was ever adopted. Not part of the stored value.
    object_version version;
    std::map<class_name, class_spec> classes;
    status_words words;
    /// The latest changes, oldest first; at most `maxChangeRecords`.
    std::vector<change_record> changes;
};

/// Number of change records that a document keeps. At 24,000 changes a day this is about four
/// minutes, longer than any writer continues to read back.
constexpr std::size_t maxChangeRecords = 64;

/// Checks names, ranges, ranks and words. The error names the field, the value and the remedy.
result<void> validate(const configuration_document &document);

/// Converts a document to the JSON text that the platform stores, and back. The version is not part
/// of the text.
std::string toJson(const configuration_document &document);
result<configuration_document> configurationFromJson(const std::string &text,
                                                     object_version version);

} // namespace peridotwheel

#endif
