#pragma once

#include "core/uuidv7.h"
#include "fakes/eventloop.h"
#include "fakes/fakeupstream.h"
#include "http/headers.h"
#include "http/httpclient.h"
#include "tasks/entryd.h"

#include <gtest/gtest.h>

#include <map>

namespace Plantainweir {

/** Runs entryd tasks and fake upstreams in one process over loopback; the test supplies the routing instead of controld. */
class EntryFixture : public testing::Test
{
protected:
    EntryFixture()
    {
        QObject::connect(&client, &HttpClient::finished, &client, [this](HttpRequestId id, const HttpRequestResult &result) {
            results[id] = result;
        });
    }

    FakeUpstream &addUpstream(std::uint32_t slots = 2)
    {
        FakeUpstreamSettings settings;
        settings.name = "u" + std::to_string(upstreams.size() + 1);
        settings.slots = slots;
        settings.serviceTime = std::chrono::milliseconds(1);
        upstreams.push_back(std::make_unique<FakeUpstream>(settings, upstreams.size() + 1));
        EXPECT_TRUE(upstreams.back()->listen({.address = "127.0.0.1", .port = 0}));
        return *upstreams.back();
    }

    Entryd &addEntry()
    {
        const Endpoint anyPort{.address = "127.0.0.1", .port = 0};
        EntrydSettings settings{
            .name = "e" + std::to_string(entries.size() + 1),
            .availabilityZone = "zone-a",
            .callerPort = anyPort,
            .peerPort = anyPort,
            .operatorsPort = anyPort,
            .control = std::nullopt,
            .seed = entries.size() + 1,
        };
        entries.push_back(std::make_unique<Entryd>(settings));
        EXPECT_TRUE(entries.back()->start());
        return *entries.back();
    }

    /** Sends the current upstreams and entry VMs to all entries. */
    void publishRouting()
    {
        RoutingUpdate update;
        update.rules = makeRules();
        Service service{.name = "rinkdesk", .version = ++version, .upstreams = {}};
        for (const auto &upstream : upstreams) {
            service.upstreams.push_back({
                .name = upstream->state().settings.name,
                .endpoint = upstream->endpoint(),
                .availabilityZone = "zone-a",
                .slots = upstream->state().settings.slots,
                .connectionLimit = 200,
            });
        }
        update.services = {service};
        update.members.emplace();
        for (const auto &entry : entries) {
            update.members->push_back(entry->self());
        }
        for (const auto &entry : entries) {
            entry->applyUpdate(update);
        }
    }

    Rules makeRules() const
    {
        Rules rules;
        rules.version = version + 1;
        rules.workKinds = {
            {.name = "lookup", .rank = Rank::Low, .target = std::chrono::seconds(5), .worth = 1, .repeatability = Repeatability::Idempotent},
            {.name = "booking", .rank = Rank::Middle, .target = std::chrono::seconds(5), .worth = 10, .repeatability = Repeatability::AtMostOnce},
        };
        return rules;
    }

    HttpRequest makeCall(const std::string &kind, const std::string &key = {}, const std::string &keyOwner = {}) const
    {
        HttpRequest request{.method = "POST", .target = "/call/rinkdesk/do?call=" + key, .fields = {{Headers::WorkKind, kind}}, .body = "ticket"};
        if (!key.empty()) {
            request.fields.push_back({Headers::IdempotencyKey, key});
        }
        if (!keyOwner.empty()) {
            request.fields.push_back({Headers::KeyOwner, keyOwner});
        }
        return request;
    }

    /** Returns a new idempotency key whose timestamp is the current time. */
    std::string makeKey()
    {
        return toString(makeUuidV7(std::chrono::time_point_cast<std::chrono::milliseconds>(std::chrono::system_clock::now()), random));
    }

    HttpRequestId send(const Entryd &entry, const HttpRequest &request)
    {
        return client.send(entry.self().callerEndpoint, request, Clock::now() + std::chrono::seconds(20));
    }

    HttpRequestResult waitFor(HttpRequestId id)
    {
        EXPECT_TRUE(waitUntil([this, id] {
            return results.contains(id);
        }));
        return results[id];
    }

    HttpRequestResult call(const Entryd &entry, const HttpRequest &request)
    {
        return waitFor(send(entry, request));
    }

    static std::string outcome(const HttpRequestResult &result)
    {
        return std::string(fieldValue(result.response.fields, Headers::Outcome));
    }

    static std::string reason(const HttpRequestResult &result)
    {
        return std::string(fieldValue(result.response.fields, Headers::Reason));
    }

    std::uint32_t executions(const std::string &key) const
    {
        std::uint32_t sum = 0;
        for (const auto &upstream : upstreams) {
            sum += upstream->executions(key);
        }
        return sum;
    }

    std::mt19937_64 random{std::random_device{}()};
    std::uint64_t version = 0;
    std::vector<std::unique_ptr<FakeUpstream>> upstreams;
    std::vector<std::unique_ptr<Entryd>> entries;
    HttpClient client{HttpLimits{}};
    std::map<HttpRequestId, HttpRequestResult> results;
};

}
