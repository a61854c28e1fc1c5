#include "peridotwheel/configuration/configuration_writer.h"

namespace peridotwheel {

namespace {

/// The text of one class in the stored form; empty if the document does not hold it.
std::string classPart(const configuration_document &document, const class_name &name)
{
    const auto it = document.classes.find(name);
    if (it == document.classes.end())
        return {};
    configuration_document only;
    only.classes.emplace(name, it->second);
    return toJson(only);
}

} // namespace

configuration_change setClassChange(const class_spec &spec)
{
    return {"set class " + spec.name.value(),
            [spec](configuration_document &document) -> result<void> {
                document.classes[spec.name] = spec;
                return success();
            },
            [name = spec.name](const auto &document) { return classPart(document, name); }};
}

configuration_change deleteClassChange(const class_name &name)
{
    return {"delete class " + name.value(),
            [name](configuration_document &document) -> result<void> {
                if (document.classes.erase(name) == 0)
                    return failure(error_kind::NotFound,
                                   "there is no class '" + name.value() +
                                           "'; list the classes to see their names");
                return success();
            },
            [name](const auto &document) { return classPart(document, name); }};
}

configuration_change setWordsChange(const status_words &words)
{
    return {"set status words",
            [words](configuration_document &document) -> result<void> {
                document.words = words;
                return success();
            },
            [](const auto &document) {
                configuration_document only;
                only.words = document.words;
                return toJson(only);
            }};
}

} // namespace peridotwheel
