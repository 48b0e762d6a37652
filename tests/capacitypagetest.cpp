#include <QProcess>

#include <gtest/gtest.h>

namespace {

TEST(CapacityPage, AgreesWithTheMeasurements)
{
    QProcess process;
    process.setProcessChannelMode(QProcess::ForwardedChannels);
    process.start(PLANTAINWEIR_SOURCE_DIR "/scripts/report-capacity", {"--check"});
    ASSERT_TRUE(process.waitForFinished());
    EXPECT_EQ(process.exitCode(), 0);
}

}
