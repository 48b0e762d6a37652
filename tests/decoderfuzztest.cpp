#include "configuration/clientaccounts.h"
#include "configuration/routetablediff.h"
#include "http/httpcodec.h"
#include "platform/callcodec.h"
#include "platform/configurationfile.h"
#include "platform/keydigest.h"
#include "platform/storecodec.h"
#include "rpc/creditmessages.h"
#include "rpc/membershipmessages.h"
#include "rpc/storemessages.h"

#include <fmt/format.h>
#include <gtest/gtest.h>

#include <algorithm>
#include <cstdlib>
#include <random>
#include <regex>

/**
 * Feeds damaged messages to the decoders of everything that other programs send. The environment variable
 * PLANTAINWEIR_FUZZ_MESSAGES sets another number of messages for each decoder.
 */
namespace Plantainweir {
namespace {

constexpr TimePoint Now{std::chrono::seconds(1000)};
constexpr std::uint64_t Seed = 20261205;
constexpr std::size_t DefaultMessages = 200'000;
constexpr int MaximumDamages = 6;
constexpr int MaximumNesting = 5;

std::size_t messageCount()
{
    const char *text = std::getenv("PLANTAINWEIR_FUZZ_MESSAGES");
    return text == nullptr ? DefaultMessages : std::strtoul(text, nullptr, 10);
}

class DecoderFuzz : public testing::Test
{
protected:
    std::size_t below(std::size_t bound)
    {
        return std::uniform_int_distribution<std::size_t>(0, bound - 1)(random);
    }

    template<typename Value>
    const Value &anyOf(const std::vector<Value> &values)
    {
        return values[below(values.size())];
    }

    /** Returns @p text with up to MaximumDamages bytes or ranges replaced, removed or repeated. */
    std::string damaged(std::string text)
    {
        for (std::size_t count = 1 + below(MaximumDamages); count > 0 && !text.empty(); --count) {
            const std::size_t at = below(text.size());
            switch (below(4)) {
            case 0:
                text[at] = static_cast<char>(below(256));
                break;
            case 1:
                text.erase(at, 1 + below(20));
                break;
            case 2:
                text.insert(at, text.substr(below(text.size()), 1 + below(30)));
                break;
            default:
                text.insert(at, anyOf(fragments));
                break;
            }
        }
        return text;
    }

    /** Returns any JSON value, with members that the decoders know, in places where they are not expected. */
    std::string anyJson(int nesting = 0)
    {
        const std::size_t choice = below(nesting < MaximumNesting ? 4 : 2);
        if (choice < 2) {
            return anyOf(scalars);
        }
        std::string text;
        for (std::size_t count = below(4); count > 0; --count) {
            text += (text.empty() ? "" : ",") + (choice == 2 ? anyOf(keys) + ":" : std::string()) + anyJson(nesting + 1);
        }
        return choice == 2 ? "{" + text + "}" : "[" + text + "]";
    }

    std::mt19937_64 random{Seed};
    const std::vector<std::string>
        fragments{"\r\n", "\r\n\r\n", "0\r\n", "ffffffffffffffff", "Content-Length: 9", "Transfer-Encoding: chunked\r\n", ":", std::string(1, '\0')};
    const std::vector<std::string> scalars{"null",
                                           "true",
                                           "0",
                                           "-1",
                                           "3",
                                           "1e400",
                                           "4294967296",
                                           "9007199254740993",
                                           "1.5",
                                           "\"\"",
                                           "\"ready\"",
                                           "\"1500ms\"",
                                           "\"10.1.0.9:80\"",
                                           "\"10.1.0.9:65536\"",
                                           "\"\xff\xfe\"",
                                           "\"\\ud800\"",
                                           "\"i-2\""};
    const std::vector<std::string> keys{"\"service\"",  "\"address\"",  "\"zone\"",          "\"version\"",  "\"slots\"",   "\"state\"",
                                        "\"cold\"",     "\"sequence\"", "\"born\"",          "\"metadata\"", "\"name\"",    "\"spec\"",
                                        "\"object\"",   "\"items\"",    "\"storeRevision\"", "\"hasMore\"",  "\"deleted\"", "\"apiKeys\"",
                                        "\"priority\"", "\"ratePerS\"", "\"burst\"",         "\"public\"",   "\"coldPerS\""};
};

constexpr auto ValidSpec = R"({"service":"desk","address":"10.1.0.9:80","zone":"a","version":"v1","slots":4,"state":"ready","cold":"1500ms","sequence":4})";

std::string item(const std::string &name, const std::string &spec)
{
    return R"({"metadata":{"name":")" + name + R"(","revision":5},"spec":)" + spec + "}";
}

HttpRequestResult answerOf(const std::string &body)
{
    return {.outcome = HttpRequestOutcome::Answered, .response = {.status = 200, .fields = {}, .body = body}};
}

TEST_F(DecoderFuzz, AnyJsonValueAmongTheUpstreamsHidesNoOther)
{
    for (std::size_t count = messageCount(); count > 0; --count) {
        const std::string odd = below(2) == 0 ? anyJson() : item("i-odd", anyJson());
        const std::string body = R"({"items":[)" + item("i-1", ValidSpec) + "," + odd + "," + item("i-2", ValidSpec) + R"(],"storeRevision":9})";
        StorePage page;
        ASSERT_EQ(Platform::decodePage(StoreObjectKind::Upstreams, answerOf(body), false, page), StoreReadOutcome::Page) << odd;
        ASSERT_GE(page.objects.size(), 2U) << odd;
        ASSERT_TRUE(std::holds_alternative<UpstreamRecord>(page.objects.front().value)) << odd;
        ASSERT_TRUE(std::holds_alternative<UpstreamRecord>(page.objects.back().value)) << odd;
        ASSERT_EQ(page.lastName, "i-2") << odd;
    }
}

bool isKept(const StorePage &page, const std::string &name)
{
    return std::any_of(page.objects.begin(), page.objects.end(), [&name](const StoreObject &object) {
        return object.name == name && std::holds_alternative<UpstreamRecord>(object.value);
    });
}

// The entries behind one whose brackets do not match come with the list after its name, unless it has none.
TEST_F(DecoderFuzz, AnyDamagedBytesAmongTheUpstreamsHideNoOther)
{
    const std::string intactStart = R"({"metadata":{"name":"i-odd",)";
    const std::string last = item("i-z", ValidSpec);
    for (std::size_t count = messageCount(); count > 0; --count) {
        const std::string odd = damaged(item("i-odd", ValidSpec));
        std::string items = fmt::format("{},{},{}", item("i-1", ValidSpec), odd, last);
        StorePage page;
        StoreReadOutcome outcome = Platform::decodePage(StoreObjectKind::Upstreams, answerOf(R"({"items":[)" + items + R"(],"storeRevision":9})"), false, page);
        ASSERT_EQ(outcome, StoreReadOutcome::Page) << odd;
        ASSERT_TRUE(isKept(page, "i-1")) << odd;
        while (outcome == StoreReadOutcome::Page && page.hasMore) {
            const std::string after = page.lastName;
            ASSERT_NE(after, "i-z") << odd;
            page = {};
            items = after == "i-1" ? fmt::format("{},{}", odd, last) : last;
            outcome = Platform::decodePage(StoreObjectKind::Upstreams, answerOf(R"({"items":[)" + items + R"(],"storeRevision":9})"), false, page);
            if (page.hasMore && page.lastName <= after) {
                // The damage gave it the name of another entry; a list that does not proceed fails.
                outcome = StoreReadOutcome::Failed;
            }
        }
        ASSERT_TRUE(isKept(page, "i-z") || (outcome == StoreReadOutcome::Failed && !odd.starts_with(intactStart))) << odd;
    }
}

TEST_F(DecoderFuzz, AnyDamagedBytesAmongTheChangesHideNoOtherOrLetTheObjectsBeListedAgain)
{
    const auto event = [](const std::string &object) {
        return R"({"object":)" + object + "}";
    };
    for (std::size_t count = messageCount(); count > 0; --count) {
        const std::string odd = damaged(event(item("i-odd", ValidSpec)));
        const std::string body = R"({"events":[)" + event(item("i-1", ValidSpec)) + "," + odd + "," + event(item("i-2", ValidSpec)) + R"(],"storeRevision":9})";
        StorePage page;
        ASSERT_EQ(Platform::decodePage(StoreObjectKind::Upstreams, answerOf(body), true, page), StoreReadOutcome::Page) << odd;
        ASSERT_EQ(page.revision.number, 9U) << odd;
        ASSERT_TRUE(isKept(page, "i-1")) << odd;
        ASSERT_TRUE(page.isIncomplete || isKept(page, "i-2")) << odd;
    }
}

TEST_F(DecoderFuzz, DamagedPagesNameNoUnusableUpstream)
{
    const std::string body = R"({"items":[)" + item("i-1", ValidSpec) + "," + item("i-2", ValidSpec) + R"(],"hasMore":true,"storeRevision":9})";
    std::size_t decoded = 0;
    for (std::size_t count = messageCount(); count > 0; --count) {
        const std::string bytes = damaged(body);
        for (const StoreObjectKind kind :
             {StoreObjectKind::Upstreams, StoreObjectKind::Configuration, StoreObjectKind::Evacuations, StoreObjectKind::EntryVms}) {
            StorePage page;
            if (Platform::decodePage(kind, answerOf(bytes), below(2) == 0, page) != StoreReadOutcome::Page) {
                continue;
            }
            ++decoded;
            ASSERT_FALSE(page.hasMore && page.lastName.empty()) << bytes;
            for (const StoreObject &object : page.objects) {
                const auto *upstream = std::get_if<UpstreamRecord>(&object.value);
                ASSERT_TRUE(upstream == nullptr || (upstream->endpoint.port != 0 && upstream->slots != 0)) << bytes;
            }
        }
    }
    EXPECT_GT(decoded, 0U);
}

TEST_F(DecoderFuzz, AnyJsonValueAsAnAccountLeavesKeysRequired)
{
    for (std::size_t count = messageCount() / 4; count > 0; --count) {
        const std::string name = below(2) == 0 ? "\"odd\"" : anyJson();
        const std::string spec = below(4) == 0 ? anyJson() : R"({"apiKeys":)" + anyJson() + R"(,"ratePerS":)" + anyJson() + R"(,"priority":)" + anyJson() + "}";
        const std::string body = fmt::format(R"({{"items":[{{"metadata":{{"name":"main","revision":5}},"spec":{{"version":7,"resources":[)"
                                             R"({{"resourceKind":"tenants","metadata":{{"name":"shop"}},"spec":{{"apiKeys":["k1"]}}}},)"
                                             R"({{"resourceKind":"tenants","metadata":{{"name":{}}},"spec":{}}}]}}}}],"storeRevision":9}})",
                                             name,
                                             spec);
        StorePage page;
        ASSERT_EQ(Platform::decodePage(StoreObjectKind::Configuration, answerOf(body), false, page), StoreReadOutcome::Page) << body;
        ASSERT_EQ(page.objects.size(), 1U) << body;
        const auto *table = std::get_if<RouteTable>(&page.objects.front().value);
        if (table == nullptr) {
            continue; // Bytes that JSON does not permit.
        }
        ASSERT_EQ(table->accounts.size(), 2U) << body;
        ASSERT_EQ(table->accounts.at("shop").keys, std::vector<KeyDigest>{Platform::digestOf("k1")}) << body;
        for (const auto &[accountName, account] : table->accounts) {
            ASSERT_TRUE(account.keys.empty() || isHeaderText(accountName)) << body;
            ASSERT_TRUE(hasValidLimits(account)) << body;
        }
    }
}

TEST_F(DecoderFuzz, DamagedConfigurationsHaveATableOrAnError)
{
    const std::string text = R"({"version":7,"resources":[{"resourceKind":"routes","metadata":{"name":"a"},"spec":{"host":"h","pathPrefix":"/a/",)"
                             R"("kind":"safe","timeout":"2s","targetLatency":"250ms","split":[{"service":"s","weight":9}]}},)"
                             R"({"resourceKind":"services","metadata":{"name":"s"},"spec":{"healthPath":"/h","maxConnections":9,"coldPerS":40}},)"
                             R"({"resourceKind":"limits","metadata":{},"spec":{"maxHeaderBytes":4096,"maxBodyBytes":65536,"headerTimeout":"3s"}},)"
                             R"({"resourceKind":"tenants","metadata":{"name":"t"},"spec":{"apiKeys":["k"],"ratePerS":2.5,"burst":3}}]})";
    const auto inForce = Platform::readConfigurationFile(text).table;
    ASSERT_TRUE(inForce);
    for (std::size_t message = 0; message < messageCount() / 10; ++message) {
        const Platform::ConfigurationFile file = Platform::readConfigurationFile(damaged(text));
        const bool hasError = std::any_of(file.findings.begin(), file.findings.end(), [](const Finding &finding) {
            return finding.severity == FindingSeverity::Error;
        });
        ASSERT_TRUE(file.table || hasError);
        if (file.table) {
            const auto found = findingsIn(*file.table, {.retryShare = 0.0, .largestBodyBytes = 60'000});
            ASSERT_TRUE(std::none_of(found.begin(), found.end(), [](const Finding &finding) {
                return finding.message.empty();
            }));
            ASSERT_EQ(differences(*inForce, *file.table).empty(), differences(*file.table, *inForce).empty());
        }
    }
}

TEST_F(DecoderFuzz, DamagedRequestsStayWithinTheLimits)
{
    const std::vector<std::string> requests{
        "POST /a/b?c=1 HTTP/1.1\r\nHost: h\r\nX-Plantainweir-Request-Id: id1\r\nX-Plantainweir-Deadline-Ms: 1200\r\nContent-Length: 5\r\n\r\nhello",
        "PUT /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
        "GET /v1/resolve?name=a.example&zone=b HTTP/1.1\r\nHost: h\r\n\r\n"};
    const HttpLimits limits{.headerBytes = 512, .bodyBytes = 64};
    std::size_t decoded = 0;
    for (std::size_t count = messageCount(); count > 0; --count) {
        std::string bytes = damaged(anyOf(requests));
        HttpRequestDecoder decoder(limits);
        std::string buffer;
        DecodeState state = DecodeState::Incomplete;
        while (state == DecodeState::Incomplete && !bytes.empty()) {
            const std::size_t part = 1 + below(bytes.size());
            buffer.append(bytes, 0, part);
            bytes.erase(0, part);
            state = decoder.decode(buffer);
            ASSERT_LE(decoder.bodyBytes(), limits.bodyBytes);
        }
        if (state == DecodeState::Complete) {
            ++decoded;
            const HttpRequest request = decoder.takeRequest();
            static_cast<void>(Platform::decodeDirectoryQuery(request));
            const RoutedCall call = Platform::decodeCall(request, Now);
            ASSERT_EQ(call.path.find('?'), std::string::npos);
        }
    }
    EXPECT_GT(decoded, 0U);
}

/** The key in @p text by the grammar of the header, written independently of the parser under test. */
std::optional<std::string> keyIn(const std::string &text)
{
    static const std::regex s_grammar("[Tt][Oo][Kk][Ee][Nn] +([\\x21-\\x7e]{1,256})");
    std::smatch match;
    return std::regex_match(text, match, s_grammar) ? std::optional(match[1].str()) : std::nullopt;
}

TEST_F(DecoderFuzz, DamagedCredentialsNeverNameAnotherKeyAndNeverReachAnUpstream)
{
    const std::vector<std::string> texts{"Token k1", "token  cpih-hacr", "TOKEN " + std::string(255, 'x'), "Basic azE6", ""};
    const std::vector<std::string> names{"Authorization", "authorization", "X-Plantainweir-Tenant", "Host"};
    std::size_t decoded = 0;
    for (std::size_t count = messageCount() / 4; count > 0; --count) {
        HttpRequest request{.method = "GET", .target = "/", .fields = {}, .body = {}};
        std::vector<std::string> credentials;
        for (std::size_t field = 1 + below(3); field > 0; --field) {
            request.fields.push_back({.name = anyOf(names), .value = below(3) == 0 ? anyOf(texts) : damaged(anyOf(texts))});
            if (isSameFieldName(request.fields.back().name, "Authorization")) {
                credentials.push_back(request.fields.back().value);
            }
        }
        const auto key = credentials.size() == 1 ? keyIn(credentials.front()) : std::nullopt;
        const Credential credential = Platform::decodeCall(request, Now).credential;
        ASSERT_EQ(credential.kind == CredentialKind::None, credentials.empty());
        ASSERT_EQ(credential.kind == CredentialKind::Key, key.has_value());
        if (key) {
            ++decoded;
            ASSERT_EQ(credential.digest, Platform::digestOf(*key));
        }
        const HttpRequest attempt = Platform::encodeAttempt(
            {.id = 1, .upstream = {.key = 1, .id = "i-1"}, .message = std::make_shared<const HttpRequest>(request), .deadline = Now, .account = "shop"}, Now);
        ASSERT_TRUE(fieldValue(attempt.fields, "Authorization").empty());
        ASSERT_EQ(fieldValue(attempt.fields, "X-Plantainweir-Tenant"), "shop");
    }
    EXPECT_GT(decoded, 0U);
}

TEST_F(DecoderFuzz, DamagedResponsesStayWithinTheLimitsAndPromiseNothingUnsaid)
{
    const std::vector<std::string> responses{
        "HTTP/1.1 200 OK\r\nX-Plantainweir-Request-Id: id1\r\nX-Plantainweir-Response-Stamp: s\r\nX-Plantainweir-Backend-Load: 3,0,8,100\r\nContent-Length: "
        "5\r\n\r\nhello",
        "HTTP/1.1 503 Busy\r\nX-Plantainweir-Not-Executed: 1\r\nRetry-After: 1.5\r\nServer-Leaving: 1\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n"};
    const HttpLimits limits{.headerBytes = 512, .bodyBytes = 64};
    std::size_t decoded = 0;
    for (std::size_t count = messageCount(); count > 0; --count) {
        std::string buffer = damaged(anyOf(responses));
        HttpResponseDecoder decoder(limits, below(8) == 0);
        DecodeState state = decoder.decode(buffer);
        ASSERT_LE(decoder.bodyBytes(), limits.bodyBytes);
        state = state == DecodeState::Incomplete ? decoder.finish() : state;
        if (state != DecodeState::Complete) {
            continue;
        }
        ++decoded;
        const HttpResponse response = decoder.takeResponse();
        const DecodedAttemptResponse attempt = Platform::decodeAttemptResponse(response);
        if (attempt.outcome == ProxyAttemptOutcome::Shed) {
            ASSERT_FALSE(fieldValue(response.fields, "X-Plantainweir-Not-Executed").empty());
        }
        if (attempt.notice.quietTime) {
            ASSERT_GT(*attempt.notice.quietTime, Duration::zero());
        }
        static_cast<void>(Platform::decodeProbeResponse(response, RegisteredUpstream{.id = "i-1"}));
    }
    EXPECT_GT(decoded, 0U);
}

TEST_F(DecoderFuzz, DamagedDatagramsAreRejectedOrMeanTheSameWhenEncodedAgain)
{
    MembershipDatagram datagram{.kind = DatagramKind::Ping, .sender = "a", .sequence = 7, .target = "b"};
    datagram.records.push_back({.name = "a", .incarnation = 3, .membershipEndpoint = {.address = "10.1.0.9", .port = 80}, .availabilityZone = "z"});
    const std::string bytes = encodeDatagram(datagram);
    std::size_t decoded = 0;
    for (std::size_t count = messageCount(); count > 0; --count) {
        const auto first = decodeDatagram(damaged(bytes));
        if (!first) {
            continue;
        }
        ++decoded;
        const auto second = decodeDatagram(encodeDatagram(*first));
        ASSERT_TRUE(second);
        ASSERT_EQ(second->records, first->records);
        ASSERT_EQ(second->sender, first->sender);
    }
    EXPECT_GT(decoded, 0U);
}

TEST_F(DecoderFuzz, DamagedCreditMessagesAreRejectedOrMeanTheSameWhenEncodedAgain)
{
    const CreditLine line{.kind = CreditKind::ColdUpstream, .scope = "desk", .upstream = "i-1"};
    const std::vector<CreditMessageBody> bodies{
        ShareDelegation{.keeper = 5, .sequence = 6, .echoedAt = Now, .share = 0.01},
        ShareReceipt{.delegator = 5, .sentAt = Now, .releasedUpTo = 9},
        CreditQuestion{.sequence = 7, .line = line, .count = 2},
        CreditAnswer{.borrower = 5, .sequence = 7, .granted = 1, .retryAfter = std::chrono::milliseconds(20), .isShort = true},
        CreditReturn{.sequence = 7, .total = 1},
    };
    std::size_t decoded = 0;
    for (std::size_t count = messageCount(); count > 0; --count) {
        const CreditMessage message{.sender = "a", .instance = 3, .fleetSize = 9, .fleetSizeValidity = std::chrono::seconds(60), .body = anyOf(bodies)};
        const auto first = decodeCreditMessage(damaged(encodeCreditMessage(message)));
        if (!first) {
            continue;
        }
        ++decoded;
        const auto second = decodeCreditMessage(encodeCreditMessage(*first));
        ASSERT_TRUE(second);
        ASSERT_EQ(encodeCreditMessage(*second), encodeCreditMessage(*first));
        if (const auto *question = std::get_if<CreditQuestion>(&first->body)) {
            ASSERT_GE(question->count, 1U);
            ASSERT_LE(question->count, MaximumAskedCredits);
            ASSERT_FALSE(question->line.scope.empty());
        }
        if (const auto *delegation = std::get_if<ShareDelegation>(&first->body)) {
            ASSERT_TRUE(delegation->share >= 0.0 && delegation->share <= 1.0);
        }
    }
    EXPECT_GT(decoded, 0U);
    EXPECT_FALSE(decodeCreditMessage(std::string(MaximumCreditDatagramBytes + 1, 'x')));
}

TEST_F(DecoderFuzz, DamagedFeedUpdatesAreRejectedOrMeanTheSameWhenEncodedAgain)
{
    StorePage page;
    ASSERT_EQ(Platform::decodePage(StoreObjectKind::Upstreams, answerOf(R"({"items":[)" + item("i-1", ValidSpec) + R"(],"storeRevision":9})"), false, page),
              StoreReadOutcome::Page);
    RouteTable table{.version = 7, .routes = {}, .services = {}, .limits = {}};
    table.services["desk"] = {.name = "desk", .coldCallsPerSecond = 5.8};
    table.accounts["shop"] = {.name = "shop", .keys = {KeyDigest{1}, KeyDigest{2}}, .priority = 1, .callsPerSecond = 27.5, .burst = 30.0};
    const StoreObject configuration{.name = "main", .revision = {.number = 8}, .isDeleted = false, .value = table};
    const FeedUpdate update{.deltas = {{.kind = StoreObjectKind::Upstreams, .isComplete = true, .revision = {.number = 9}, .objects = page.objects},
                                       {.kind = StoreObjectKind::Configuration, .isComplete = true, .revision = {.number = 8}, .objects = {configuration}}},
                            .confirmations = {{.kind = StoreObjectKind::Upstreams, .age = std::chrono::milliseconds(5)}},
                            .isSenderReading = true,
                            .echoedAt = Now};
    const std::string bytes = toMessage(update).SerializeAsString();
    std::size_t decoded = 0;
    for (std::size_t count = messageCount(); count > 0; --count) {
        StoreProtocol::FeedUpdate message;
        const auto first = message.ParseFromString(damaged(bytes)) ? fromMessage(message) : std::nullopt;
        if (!first) {
            continue;
        }
        ++decoded;
        const auto second = fromMessage(toMessage(*first));
        ASSERT_TRUE(second);
        ASSERT_EQ(second->deltas, first->deltas);
        ASSERT_EQ(second->confirmations, first->confirmations);
    }
    EXPECT_GT(decoded, 0U);
}

TEST_F(DecoderFuzz, DamagedFeedRequestsAreRejectedOrMeanTheSameWhenEncodedAgain)
{
    const FeedRequest request{.sender = "e1", .revisions = {{{.era = 2, .number = 5}, {.era = 2, .number = 6}, {.number = 7}}}, .sentAt = Now};
    const std::string bytes = toMessage(request).SerializeAsString();
    std::size_t decoded = 0;
    for (std::size_t count = messageCount(); count > 0; --count) {
        StoreProtocol::FollowRequest message;
        const auto first = message.ParseFromString(damaged(bytes)) ? fromMessage(message) : std::nullopt;
        if (!first) {
            continue;
        }
        ++decoded;
        ASSERT_FALSE(first->sender.empty());
        const auto second = fromMessage(toMessage(*first));
        ASSERT_TRUE(second);
        ASSERT_EQ(toMessage(*second).SerializeAsString(), toMessage(*first).SerializeAsString());
    }
    EXPECT_GT(decoded, 0U);
}

}
}
