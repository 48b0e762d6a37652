#pragma once

#include "core/enumnames.h"

#include <fmt/format.h>

#include <string>
#include <string_view>
#include <utility>
#include <vector>

/** Numbered log events. `docs/EVENTS.md` is their catalogue; a test checks that both agree. */
namespace Plantainweir {

enum class LogSeverity {
    Info,
    Warning,
    Error,
};

constexpr std::array<EnumName<LogSeverity>, 3> enumNames(LogSeverity)
{
    return {{
        {LogSeverity::Info, "info"},
        {LogSeverity::Warning, "warning"},
        {LogSeverity::Error, "error"},
    }};
}
static_assert(isEnumTableOrdered<LogSeverity>());

/** The number of an event never changes; the number of a removed event is not reused. */
enum class LogEvent {
    // 1000 to 1099: all programs
    ProgramStarted = 1000,
    ProgramStopping = 1001,
    ProgramStopped = 1002,
    ListenFailed = 1003,
    // 1100 to 1199: entryd
    ConfigurationInForce = 1100,
    ControlLost = 1101,
    ControlConnected = 1102,
    UpstreamEjected = 1103,
    UpstreamReturned = 1104,
    // 1200 to 1299: controld
    MemberStateChanged = 1200,
    MemberRefuted = 1201,
    ProcessResumed = 1202,
    WatcherChanged = 1203,
    ConfigurationKnown = 1204,
    EntrySilent = 1205,
    PlatformUp = 1250,
    PlatformDown = 1251,
    ConfigurationRejected = 1252,
    // 1300 to 1399: plantainweirctl
    // 1400 to 1499: plantainweir-call
    DirectoryUnavailable = 1400,
    DirectoryMalformed = 1401,
    RecordFailed = 1402,
    // 1500 to 1599: gatewayd
    CallSent = 1500,
    AttemptFailed = 1501,
    CallEnded = 1502,
    CallAbandoned = 1503,
    RoutesInForce = 1510,
    UpstreamsChanged = 1511,
    ReadinessChanged = 1512,
    ObjectUnusable = 1513,
    EntriesChanged = 1514,
    UpstreamLeaving = 1515,
    UpstreamQuiet = 1516,
    ObjectsUnnamed = 1517,
    ForeignResponse = 1518,
    MemoryLimitReached = 1519,
    StoreLost = 1520,
    StoreReturned = 1521,
    LogLinesDropped = 1522,
    EvacuationsChanged = 1523,
    ConnectionReplaced = 1524,
    AcceptFailed = 1525,
    ColdUpstreamsChanged = 1526,
    ConnectionLimitReached = 1527,
    BodyLimitTooLarge = 1528,
    DescriptorsLimited = 1529,
    ReloadRequested = 1530,
    MalformedResponse = 1531,
    RegistrationFailed = 1532,
    RegistrationsListed = 1533,
    FleetCompared = 1534,
    StoreReadingChanged = 1540,
    FeedEnded = 1541,
    FeedMalformed = 1542,
    FirstReadFailed = 1543,
    WatchMissedChanges = 1544,
    StoreAnswerOutdated = 1545,
    StoreEraChanged = 1546,
    StoreObjectsHeld = 1547,
    RoutesOutdated = 1548,
    StoreAnswerContradictory = 1549,
    CreditKeepersChanged = 1550,
    CreditKeepingChanged = 1551,
};

/** A row of the event catalogue. */
struct LogEventDescription {
    LogEvent event;
    LogSeverity severity;
    std::string_view name; ///< Name of the event in the log line.
    std::string_view meaning; ///< One sentence for the catalogue.
};

/** Returns all events in the order of their numbers. */
const std::vector<LogEventDescription> &logEvents();

/** One key=value field of a log line. */
struct LogField {
    template<typename Value>
    LogField(std::string_view fieldKey, const Value &fieldValue)
        : key(fieldKey)
        , value(fmt::format("{}", fieldValue))
    {
    }

    std::string_view key;
    std::string value;
};

/**
 * Sends all further log lines to standard output, at most 400 a second on average; without this call they go to standard
 * error.
 *
 * Sets standard output to non-blocking mode, and ignores SIGPIPE, so that the loss of its reader costs only lines. A line above the limit, or that does not fit
 * into a full pipe, is dropped; a later line reports the number of dropped lines.
 */
void useStandardOutputForLogs();

/** Writes one line: number of the event, time, severity, name of the event and the fields. */
void logEvent(LogEvent event, const std::vector<LogField> &fields = {});

}
