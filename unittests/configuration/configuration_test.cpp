#include "fixtures/fake_platform.h"
#include "peridotwheel/configuration/configuration_writer.h"
#include "peridotwheel/support/manual_loop.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace peridotwheel;

namespace {

class_spec spec(const std::string &name, unsigned rank, int latencyMs = 140)
{
    class_spec s;
    s.name = class_name(name);
    s.latencyTarget = milliseconds(latencyMs);
    s.rank = class_rank(rank);
    return s;
}

configuration_document validDocument()
{
    configuration_document d;
    for (const auto &s : {spec("safety-cards", 0), spec("lessons", 1, 400)})
        d.classes.emplace(s.name, s);
    return d;
}

std::string validationError(const configuration_document &d)
{
    const auto valid = validate(d);
    return valid ? "" : valid.error().message;
}

struct configuration_writer_fixture : testing::Test
{
    manual_loop loop;
    fake_platform platform{loop, 11};
    fake_platform_client client{platform, loop};
    configuration_writer writer{loop, client, 12};

    void SetUp() override { platform.store("configuration", "current", toJson(validDocument())); }

    configuration_document stored() const
    {
        const auto &object = platform.current().at({"configuration", "current"});
        return configurationFromJson(object.value, object.version).value();
    }
    result<object_version> write(const configuration_change &change)
    {
        result<object_version> out = error{error_kind::TimedOut, "never called"};
        writer.write(change, [&](const auto &r) { out = r; });
        loop.advance(seconds(60));
        return out;
    }
};

} // namespace

TEST(configurationDocument, errorsNameTheFieldAndTheRemedy)
{
    EXPECT_EQ(validationError(validDocument()), "");
    auto d = validDocument();
    d.classes[class_name("lessons")].quantile = 1.0;
    EXPECT_NE(validationError(d).find("quantile 1.000000 is out of range; set"), std::string::npos);
    d = validDocument();
    d.classes[class_name("lessons")].rank = class_rank(0);
    EXPECT_NE(validationError(d).find("'lessons' and 'safety-cards' both have rank 0"),
              std::string::npos);
    d = validDocument();
    d.words.wait = "retry later";
    EXPECT_NE(validationError(d).find("'retry' is the beginning of 'retry later'"),
              std::string::npos);
    for (const char *word : {"", "a\nb", " a", "a:b"}) {
        d = validDocument();
        d.words.done = word;
        EXPECT_NE(validationError(d).find("status word for done"), std::string::npos) << word;
    }
}

// Guards against targets that change when a document is written and read back.
RC_GTEST_PROP(configurationDocument, isUnchangedByWritingAndReading, (std::uint32_t us, bool last))
{
    auto d = validDocument();
    auto &s = d.classes[class_name("lessons")];
    s.latencyTarget = duration(1000 + us % 3600000000U);
    s.coverageTarget = last ? 1.0 : 0.95;
    d.changes.push_back({"c1", "set class \"lessons\""});
    const auto back = configurationFromJson(toJson(d), object_version(3));
    RC_ASSERT(back.has_value());
    RC_ASSERT(back.value().classes == d.classes);
    RC_ASSERT(back.value().changes.at(0).summary == d.changes.at(0).summary);
    RC_ASSERT(back.value().version == object_version(3));
}

// Guards against crashes on documents in which a byte was replaced.
RC_GTEST_PROP(configurationDocument, damagedTextDoesNotCrash, (std::size_t at, char replacement))
{
    std::string text = toJson(validDocument());
    text[at % text.size()] = replacement;
    const auto document = configurationFromJson(text, object_version(1));
    if (document)
        (void)validate(document.value());
}

// Guards against a change that is written twice, or reported as failed, when its reply was lost.
TEST_F(configuration_writer_fixture, aLostReplyIsResolvedByReadingBack)
{
    platform.lostReplyRate = 1.0;
    const auto written = write(setClassChange(spec("bookings", 2)));
    ASSERT_TRUE(written.has_value()) << written.error().message;
    EXPECT_EQ(written.value(), stored().version);
    EXPECT_EQ(stored().changes.size(), 1U);
}

TEST_F(configuration_writer_fixture, reportsAnUnknownOutcomeIfItCannotReadBack)
{
    platform.lostReplyRate = 1.0;
    result<object_version> out = object_version();
    writer.write(setClassChange(spec("bookings", 2)), [&](const auto &r) { out = r; });
    for (int i = 0; i < 200 && stored().changes.empty(); ++i)
        loop.advance(milliseconds(1));
    client.isDisconnected = true;
    loop.advance(seconds(60));
    ASSERT_FALSE(out.has_value());
    EXPECT_EQ(out.error().kind, error_kind::OutcomeUnknown);
}

// Guards against concurrent changes of one class that overwrite each other without an error, and
// against needless conflicts between changes of different classes.
TEST_F(configuration_writer_fixture, onlyChangesOfTheSameClassConflict)
{
    std::vector<result<object_version>> outcomes;
    auto record = [&](const auto &r) { outcomes.push_back(r); };
    writer.write(setClassChange(spec("lessons", 1, 300)), record);
    writer.write(setClassChange(spec("lessons", 1, 500)), record);
    writer.write(setClassChange(spec("bookings", 2, 2000)), record);
    loop.advance(seconds(60));
    ASSERT_EQ(outcomes.size(), 3U);
    int conflicts = 0;
    for (const auto &o : outcomes) {
        if (o)
            continue;
        ++conflicts;
        EXPECT_EQ(o.error().kind, error_kind::Conflict);
        EXPECT_NE(o.error().message.find("'set class lessons' ("), std::string::npos);
    }
    EXPECT_EQ(conflicts, 1);
    EXPECT_EQ(stored().classes.size(), 3U);
    EXPECT_EQ(stored().changes.size(), 2U);
}

// Guards against a document that grows without limit: the number of change records is bounded.
TEST_F(configuration_writer_fixture, keepsTheLatestChangeRecordsOnly)
{
    for (int i = 0; i < 70; ++i)
        ASSERT_TRUE(write(setClassChange(spec("lessons", 1, 100 + i))).has_value());
    EXPECT_EQ(stored().changes.size(), maxChangeRecords);
}

TEST_F(configuration_writer_fixture, refusesInvalidChangesBeforeWriting)
{
    const auto before = stored().version;
    EXPECT_EQ(write(setClassChange(spec("lessons", 0))).error().kind, error_kind::InvalidArgument);
    EXPECT_EQ(write(deleteClassChange(class_name("none"))).error().kind, error_kind::NotFound);
    EXPECT_EQ(stored().version, before);
}
