#include "fakes/entryfixture.h"

#include "peer.grpc.pb.h"

#include <grpcpp/grpcpp.h>

/** An entryd forwards calls to another entry VM whose replies are no answers. */
namespace Plantainweir {
namespace {

namespace wire = plantainweir::peer::v1;

/** Replies to each forwarded call in the same way. */
class StandInPeer : public wire::Peer::Service
{
public:
    explicit StandInPeer(wire::ForwardReply reply)
        : m_reply(std::move(reply))
    {
        grpc::ServerBuilder builder;
        builder.AddListeningPort("127.0.0.1:0", grpc::InsecureServerCredentials(), &m_port);
        builder.RegisterService(this);
        m_server = builder.BuildAndStart();
    }

    ~StandInPeer() override
    {
        m_server->Shutdown();
    }

    Endpoint endpoint() const
    {
        return {.address = "127.0.0.1", .port = static_cast<std::uint16_t>(m_port)};
    }

    grpc::Status Forward(grpc::ServerContext *, const wire::ForwardRequest *, wire::ForwardReply *reply) override
    {
        *reply = m_reply;
        return grpc::Status::OK;
    }

private:
    const wire::ForwardReply m_reply;
    int m_port = 0;
    std::unique_ptr<grpc::Server> m_server;
};

wire::ForwardReply soundReply()
{
    wire::ForwardReply reply;
    reply.set_outcome("answered");
    reply.set_status(200);
    reply.set_body("ticket");
    return reply;
}

wire::ForwardReply replyWithStatus(std::uint32_t status)
{
    wire::ForwardReply reply = soundReply();
    reply.set_status(status);
    return reply;
}

wire::ForwardReply replyWithField(const std::string &name, const std::string &value)
{
    wire::ForwardReply reply = soundReply();
    wire::Header *header = reply.add_headers();
    header->set_name(name);
    header->set_value(value);
    return reply;
}

class BrokenPeerAnswersTest : public EntryFixture
{
protected:
    /** Sends a booking whose key belongs to another entry VM, which replies with @p reply. */
    HttpRequestResult callForwardedTo(const wire::ForwardReply &reply)
    {
        const StandInPeer peer(reply);
        EntryMember owner = entries.front()->self();
        owner.name = "e2";
        owner.incarnation = "e2-incarnation";
        owner.peerEndpoint = peer.endpoint();
        RoutingUpdate update;
        update.rules = makeRules();
        update.services = {{.name = "rinkdesk", .version = ++version, .upstreams = {}}};
        update.members = {entries.front()->self(), owner};
        entries.front()->applyUpdate(update);
        return call(*entries.front(), makeCall("booking", makeKey(), owner.incarnation));
    }

    void expectUnknown(const wire::ForwardReply &reply)
    {
        testing::internal::CaptureStderr();
        const HttpRequestResult result = callForwardedTo(reply);
        const std::string log = testing::internal::GetCapturedStderr();
        EXPECT_NE(log.find("malformed_response"), std::string::npos) << log;
        ASSERT_EQ(result.outcome, HttpRequestOutcome::Answered) << "the caller gets an answer";
        EXPECT_EQ(outcome(result), "unknown");
        EXPECT_EQ(reason(result), "owner_connection_lost");
        EXPECT_EQ(fieldValue(result.response.fields, "X-Note"), "");
    }
};

TEST_F(BrokenPeerAnswersTest, ASoundReplyIsPassedOn)
{
    addEntry();
    const HttpRequestResult result = callForwardedTo(replyWithField("X-Note", "a"));
    EXPECT_EQ(outcome(result), "answered");
    EXPECT_EQ(result.response.status, 200);
    EXPECT_EQ(result.response.body, "ticket");
    EXPECT_EQ(fieldValue(result.response.fields, "X-Note"), "a");
}

TEST_F(BrokenPeerAnswersTest, AReplyWithoutAStatusOfAnAnswerEndsAsUnknown)
{
    addEntry();
    for (const std::uint32_t status : {0U, 99U, 100U, 101U, 199U, 600U, 999U, 1000U, 4'294'967'295U}) {
        SCOPED_TRACE(status);
        expectUnknown(replyWithStatus(status));
    }
}

TEST_F(BrokenPeerAnswersTest, AReplyWithAnImpossibleFieldEndsAsUnknown)
{
    addEntry();
    const std::vector<MessageField> fields{
        {"", "a"},
        {"X Note", "a"},
        {"X-Note ", "a"},
        {" X-Note", "a"},
        {"X-\x01Note", "a"},
        {"X-Note:", "a"},
        {"X-Note", "a\r\nX-Other: b"},
        {"X-Note", "a\n"},
        {"X-Note", "a\x01"},
        {"X-Note", std::string("a\0", 2)},
    };
    for (const MessageField &field : fields) {
        SCOPED_TRACE(field.name + "=" + field.value);
        expectUnknown(replyWithField(field.name, field.value));
    }
}

TEST_F(BrokenPeerAnswersTest, AReplyThatNamesNoOutcomeEndsAsUnknown)
{
    addEntry();
    for (const char *name : {"", "answer", "Answered", "not_run "}) {
        SCOPED_TRACE(name);
        wire::ForwardReply reply = soundReply();
        reply.set_outcome(name);
        expectUnknown(reply);
    }
    wire::ForwardReply refusal;
    refusal.set_outcome("not_run");
    expectUnknown(refusal);
}

}
}

int main(int argc, char **argv)
{
    testing::InitGoogleTest(&argc, argv);
    QCoreApplication application(argc, argv);
    return RUN_ALL_TESTS();
}
