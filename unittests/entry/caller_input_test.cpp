#include "peridotwheel/entry/query_parser.h"
#include "peridotwheel/support/random_source.h"

#include <cstdio>
#include <gtest/gtest.h>

using namespace peridotwheel;

namespace {

const std::string valid = R"({"class":"safety-cards","services":["cards"],"query":"crew 4",)"
                          R"("deadlineMs":90,"repeatable":false,"requestId":"b-1",)"
                          R"("issuedAt":1000000})";

/// Overwrites, removes or duplicates parts of \p text.
std::string mutated(std::string text, random_source &random)
{
    constexpr char jsonBytes[] = "{}[]\",:0123456789eE+-.\\u\0\xff\xc3 ";
    const auto rounds = 1 + random.below(4);
    for (std::uint64_t i = 0; i < rounds && !text.empty(); ++i) {
        const auto at = random.below(text.size());
        const auto length = random.below(text.size() - at) / 4 + 1;
        switch (random.below(4)) {
        case 0:
            text[at] = jsonBytes[random.below(sizeof jsonBytes - 1)];
            break;
        case 1:
            text.erase(at, length);
            break;
        case 2:
            text.insert(at, text.substr(at, length));
            break;
        default:
            text[at] = static_cast<char>(random.below(256));
        }
    }
    return text;
}

} // namespace

// Guards against a parser that accepts malformed input: for any body it must return a request
// within the bounds or an error with a remedy, and never a booking without an id or time of issue.
TEST(callerInput, damagedQueriesAreParsedOrRefused)
{
    const std::uint64_t seed = 20261;
    std::printf("seed %llu\n", static_cast<unsigned long long>(seed));
    random_source random(seed);
    configuration_document document;
    class_spec spec;
    spec.name = class_name("safety-cards");
    spec.latencyTarget = milliseconds(140);
    document.classes[spec.name] = spec;
    const query_context context{
            document, [](const service_name &name) { return name.value() == "cards"; },
            [] { return request_id("g-1"); }, time_point(seconds(1000)), wall_time(seconds(1000))};
    ASSERT_TRUE(parseQuery(valid, context).has_value());
    int accepted = 0;
    for (int i = 0; i < 20000; ++i) {
        const std::string text = mutated(valid, random);
        const auto parsed = parseQuery(text, context);
        if (!parsed) {
            ASSERT_FALSE(parsed.error().message.empty()) << text;
            ASSERT_GE(parsed.error().httpStatus, 400) << text;
            continue;
        }
        ++accepted;
        const query_request &q = parsed.value();
        ASSERT_TRUE(isRequestId(q.id.value())) << text;
        ASSERT_LE(q.text.size(), maxQueryBytes) << text;
        ASSERT_GT(q.deadline, context.now) << text;
        ASSERT_LE(q.deadline - context.now, maxDeadline) << text;
        ASSERT_TRUE(q.repeatable || q.issuedAt) << text;
    }
    EXPECT_GT(accepted, 100) << "the mutations are too coarse to test what lies behind the parser";
}

TEST(callerInput, deeplyNestedAndEmptyBodiesAreRefused)
{
    configuration_document document;
    const query_context context{document, {}, {}, {}, {}};
    for (const std::string &body :
         {std::string(), std::string(60000, '['),
          std::string("{\"class\":") + std::string(60000, '['), std::string(3, '\0')})
        EXPECT_FALSE(parseQuery(body, context).has_value());
}
