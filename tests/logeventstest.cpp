#include "observability/logevents.h"

#include <gtest/gtest.h>

#include <unistd.h>

#include <algorithm>
#include <array>
#include <csignal>
#include <fstream>
#include <sstream>

namespace Plantainweir {
namespace {

std::string readCatalogue()
{
    std::ifstream file(PLANTAINWEIR_SOURCE_DIR "/docs/EVENTS.md");
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

std::string catalogueRow(const LogEventDescription &event)
{
    return fmt::format("| {} | {} | `{}` | {} |", static_cast<int>(event.event), nameOf(event.severity), event.name, event.meaning);
}

TEST(LogEvents, CatalogueHasEachEventAndNoOther)
{
    const std::string catalogue = readCatalogue();
    for (const LogEventDescription &event : logEvents()) {
        EXPECT_NE(catalogue.find(catalogueRow(event)), std::string::npos) << "docs/EVENTS.md lacks: " << catalogueRow(event);
    }
    std::istringstream lines(catalogue);
    std::size_t rows = 0;
    for (std::string line; std::getline(lines, line);) {
        rows += line.rfind("| 1", 0) == 0 ? 1 : 0;
    }
    EXPECT_EQ(rows, logEvents().size());
}

/** Logs @p lines info lines to a pipe without reading from it, and returns the content of the pipe afterwards. */
std::string loggedToFullPipe(int lines)
{
    std::array<int, 2> ends{};
    EXPECT_EQ(::pipe(ends.data()), 0);
    const int standardOutput = ::dup(STDOUT_FILENO);
    ::dup2(ends[1], STDOUT_FILENO);
    useStandardOutputForLogs();
    for (int line = 0; line < lines; ++line) {
        logEvent(LogEvent::CallEnded, {{"line", line}, {"text", std::string(200, 'x')}});
    }
    std::string text(1024 * 1024, ' ');
    text.resize(static_cast<std::size_t>(std::max<ssize_t>(0, ::read(ends[0], text.data(), text.size()))));
    logEvent(LogEvent::StoreLost);
    std::string last(4096, ' ');
    last.resize(static_cast<std::size_t>(std::max<ssize_t>(0, ::read(ends[0], last.data(), last.size()))));
    ::dup2(standardOutput, STDOUT_FILENO);
    for (const int end : {ends[0], ends[1], standardOutput}) {
        ::close(end);
    }
    return text + last;
}

TEST(LogEvents, FullPipeDropsLinesAndReportsTheirNumber)
{
    const std::string text = loggedToFullPipe(5000);
    EXPECT_NE(text.find("line=0 "), std::string::npos);
    EXPECT_EQ(text.find("line=4999 "), std::string::npos);
    EXPECT_NE(text.find("log_lines_dropped lines="), std::string::npos);
    EXPECT_NE(text.find("store_lost"), std::string::npos) << "tokens are reserved for warnings";
}

// Guards against the end of the process by SIGPIPE once the reader of its log is gone.
TEST(LogEvents, TheLossOfTheReaderCostsOnlyLines)
{
    std::array<int, 2> ends{};
    ASSERT_EQ(::pipe(ends.data()), 0);
    const int standardOutput = ::dup(STDOUT_FILENO);
    ::dup2(ends[1], STDOUT_FILENO);
    useStandardOutputForLogs();
    ::close(ends[0]);
    logEvent(LogEvent::StoreLost);
    ::dup2(standardOutput, STDOUT_FILENO);
    ::close(ends[1]);
    ::close(standardOutput);
    // Without the fix, the process has ended before this line.
    EXPECT_EQ(std::signal(SIGPIPE, SIG_DFL), SIG_IGN);
}

TEST(LogEvents, NumbersAreAscending)
{
    EXPECT_TRUE(std::is_sorted(logEvents().begin(), logEvents().end(), [](const auto &left, const auto &right) {
        return left.event < right.event;
    }));
}

}
}
