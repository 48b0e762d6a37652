#include "caller/callertask.h"
#include "caller/loadgeneratortask.h"
#include "core/commandline.h"
#include "observability/logevents.h"

#include <QCoreApplication>
#include <fmt/core.h>

#include <cstdio>
#include <fstream>

using namespace Plantainweir;

namespace {

void addSettings(CommandLine &commandLine)
{
    commandLine.addEndpointList("entries", "entry VMs to query for the directory");
    commandLine.addText("mix", "work kinds and their shares of the calls, as KIND=SHARE separated by commas");
    commandLine.addText("service", "service of the work kinds that --service-of does not name", "");
    commandLine.addText("service-of", "services of work kinds, as KIND=SERVICE separated by commas", "");
    commandLine.addText("rank-of", "ranks by which the report groups work kinds, as KIND=RANK separated by commas", "");
    commandLine.addText("at-most-once", "work kinds whose calls carry an idempotency key, separated by commas", "");
    commandLine.addInteger("count", "number of calls", 1, 100'000'000, 1);
    commandLine.addNumber("rate", "calls per second, sent in an open loop", 0.001, 1'000'000.0, 100.0);
    commandLine.addInteger("timeout-ms", "timeout of a call in milliseconds; 0 uses the work kind's target", 0, 600'000, 2000);
    commandLine.addInteger("try-timeout-ms", "timeout of one try in milliseconds; 0 uses the timeout of the call", 0, 600'000, 0);
    commandLine.addInteger("tries", "maximum number of tries of a call", 1, 100, 4);
    commandLine.addText("caller", "name of the caller", "plantainweir-call");
    commandLine.addText("method", "HTTP method", "POST");
    commandLine.addText("target", "target of the upstream's request; / stands for /KIND", "/");
    commandLine.addText("body", "body of each call", "");
    commandLine.addText("record", "file to write, with one line of JSON for each call", "");
    commandLine.addSwitch("check-answers", "count an answer that does not contain the call's key as wrong");
    commandLine.addInteger("seed", "seed of the random work kinds and times; 0 chooses a random seed", 0, 1'000'000'000, 0);
    commandLine.addChoice("output", "format of the result", {"text", "json"}, "text");
}

CallerSettings callerSettings(const CommandLine &commandLine)
{
    return {
        .entries = commandLine.endpointList("entries"),
        .caller = commandLine.text("caller"),
        .timeout = std::chrono::milliseconds(commandLine.integer("timeout-ms")),
        .tryTimeout = std::chrono::milliseconds(commandLine.integer("try-timeout-ms")),
        .maximumTries = static_cast<std::uint32_t>(commandLine.integer("tries")),
    };
}

WorkMixSettings mixSettings(const CommandLine &commandLine)
{
    return {
        .mix = commandLine.text("mix"),
        .service = commandLine.text("service"),
        .serviceOf = commandLine.text("service-of"),
        .rankOf = commandLine.text("rank-of"),
        .atMostOnce = commandLine.text("at-most-once"),
    };
}

std::uint64_t randomSeed()
{
    std::random_device device;
    return (static_cast<std::uint64_t>(device()) << 32) | device();
}

/** Collects the calls of one run and prints them at its end. */
class ResultCollector
{
public:
    explicit ResultCollector(const CommandLine &commandLine)
        : m_isJson(commandLine.text("output") == "json")
        , m_isSingle(commandLine.integer("count") == 1)
        , m_isAnswerChecked(commandLine.isOn("check-answers"))
    {
        if (!commandLine.text("record").empty()) {
            m_record.open(commandLine.text("record"));
            m_hasRecordFailed = !m_record.is_open();
        }
    }

    void add(const FinishedCall &call)
    {
        const bool isAnswered = call.outcome == CallOutcome::Answered;
        const bool isWrong = m_isAnswerChecked && isAnswered && call.status == 200 && call.body.find(toString(call.key)) == std::string::npos;
        m_areAllAnswered = m_areAllAnswered && isAnswered;
        addCall(m_report, call, isWrong);
        const std::string line = toJson(call, isWrong);
        if (m_record.is_open()) {
            m_record << line << '\n';
        }
        if (m_isSingle) {
            fmt::print("{}\n", m_isJson ? line : toSummary(call));
            fmt::print("{}", m_isJson ? "" : call.body);
        }
    }

    void printReport() const
    {
        if (m_isSingle) {
            return;
        }
        fmt::print("{}", m_isJson ? toJson(m_report) + "\n" : toTable(m_report));
    }

    /** Closes the record file and returns whether all of it was written. */
    bool closeRecord()
    {
        if (m_record.is_open()) {
            m_record.close();
            m_hasRecordFailed = m_hasRecordFailed || m_record.fail();
        }
        return !m_hasRecordFailed;
    }

    bool hasRecordFailed() const
    {
        return m_hasRecordFailed;
    }

    ExitStatus status() const
    {
        return m_areAllAnswered ? ExitStatus::Success : ExitStatus::Failure;
    }

private:
    bool m_isJson;
    bool m_isSingle;
    bool m_isAnswerChecked;
    bool m_hasRecordFailed = false;
    bool m_areAllAnswered = true;
    std::ofstream m_record;
    CallReport m_report;
};

int fail(ExitStatus status, const std::string &message)
{
    fmt::print(stderr, "plantainweir-call: {}\n", message);
    return static_cast<int>(status);
}

int run(const CommandLine &commandLine, const std::vector<WorkMixEntry> &mix)
{
    ResultCollector collector(commandLine);
    if (collector.hasRecordFailed()) {
        logEvent(LogEvent::RecordFailed, {{"file", commandLine.text("record")}});
        return static_cast<int>(ExitStatus::Failure);
    }
    CallerTask caller(callerSettings(commandLine), randomSeed());
    const auto seed = static_cast<std::uint64_t>(commandLine.integer("seed"));
    const LoadGeneratorSettings settings{
        .mix = mix,
        .callsPerSecond = commandLine.number("rate"),
        .count = static_cast<std::uint64_t>(commandLine.integer("count")),
        .prototype = {.kind = {}, .method = commandLine.text("method"), .target = commandLine.text("target"), .body = commandLine.text("body"), .dueAt = {}},
    };
    LoadGeneratorTask load(settings, &caller, seed == 0 ? randomSeed() : seed);
    QObject::connect(&load, &LoadGeneratorTask::callFinished, &load, [&collector](const FinishedCall &call) {
        collector.add(call);
    });
    QObject::connect(&load, &LoadGeneratorTask::finished, QCoreApplication::instance(), &QCoreApplication::quit, Qt::QueuedConnection);
    load.start();
    QCoreApplication::exec();
    collector.printReport();
    if (!collector.closeRecord()) {
        logEvent(LogEvent::RecordFailed, {{"file", commandLine.text("record")}});
        return static_cast<int>(ExitStatus::Failure);
    }
    return static_cast<int>(collector.status());
}

}

int main(int argc, char **argv)
{
    const QCoreApplication application(argc, argv);
    CommandLine commandLine("plantainweir-call",
                            "Sends calls through the entry VMs as a caller does, and reports their outcomes. "
                            "Exits with 0 if each call was answered, else with 1.");
    addSettings(commandLine);
    if (const auto status = commandLine.parse(argc, argv)) {
        return static_cast<int>(*status);
    }
    if (commandLine.endpointList("entries").empty()) {
        return fail(ExitStatus::Usage, "--entries is empty; allowed: IP:port, several separated by commas");
    }
    if (commandLine.text("target").front() != '/') {
        return fail(ExitStatus::Usage, fmt::format("--target is \"{}\"; allowed: text that begins with /", commandLine.text("target")));
    }
    return valueOr(
        [&commandLine]() -> Result<int> {
            BOOST_LEAF_AUTO(mix, parseMix(mixSettings(commandLine)));
            return run(commandLine, mix);
        },
        [](const Error &error) {
            return fail(ExitStatus::Usage, error.message);
        });
}
