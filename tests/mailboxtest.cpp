#include "rpc/mailbox.h"

#include <gtest/gtest.h>

#include <QCoreApplication>

#include <optional>

namespace Plantainweir {
namespace {

class MailboxTest : public testing::Test
{
protected:
    MailboxTest()
    {
        application.emplace(argumentCount, arguments);
    }

    int argumentCount = 1;
    char programName[5] = "test";
    char *arguments[2] = {programName, nullptr};
    std::optional<QCoreApplication> application;
};

TEST_F(MailboxTest, RunsFunctionsUntilItsOwnerIsDestroyed)
{
    auto owner = std::make_unique<QObject>();
    const Mailbox mailbox(owner.get());
    int runs = 0;
    const auto count = [&runs] {
        ++runs;
    };
    mailbox.post(count);
    QCoreApplication::sendPostedEvents();
    EXPECT_EQ(runs, 1);
    mailbox.post(count);
    owner.reset();
    QCoreApplication::sendPostedEvents();
    EXPECT_EQ(runs, 1);
}

TEST_F(MailboxTest, RunsFunctionsThatOutliveTheMailbox)
{
    QObject owner;
    int runs = 0;
    {
        const Mailbox mailbox(&owner);
        mailbox.post([&runs] {
            ++runs;
        });
    }
    QCoreApplication::sendPostedEvents();
    EXPECT_EQ(runs, 1);
}

/** Guards against a deadlock when the application destroys a queued function that has the last copy of a mailbox. */
TEST_F(MailboxTest, ApplicationEndsWhileFunctionsAreQueued)
{
    QObject owner;
    {
        const Mailbox mailbox(&owner);
        mailbox.post([] {});
        mailbox.post([copy = mailbox] {
            copy.post([] {});
        });
    }
    application.reset();
    EXPECT_EQ(QCoreApplication::instance(), nullptr);
}

}
}
