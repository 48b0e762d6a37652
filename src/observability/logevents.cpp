#include "observability/logevents.h"

#include "core/time.h"

#include <fmt/chrono.h>
#include <fmt/core.h>

#include <algorithm>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <utility>

#include <fcntl.h>
#include <unistd.h>

namespace Plantainweir {
namespace {

const LogEventDescription &descriptionOf(LogEvent event)
{
    const auto &events = logEvents();
    return *std::find_if(events.begin(), events.end(), [event](const LogEventDescription &row) {
        return row.event == event;
    });
}

/** Token bucket for log lines: refill per second, capacity, and tokens reserved for warnings and errors. */
constexpr double LinesPerSecond = 400.0;
constexpr double LineBurst = 1200.0;
constexpr double ReservedLines = LineBurst / 3.0;

/** Destination of the log lines, and its token bucket. */
struct LogOutput {
    int descriptor = STDERR_FILENO;
    bool isLimited = false;
    double tokens = LineBurst;
    TimePoint refilledAt;
    std::uint64_t droppedLines = 0; ///< Lines dropped since the last event log_lines_dropped.
};

LogOutput &logOutput()
{
    static LogOutput s_output;
    return s_output;
}

/** Takes the token for one line; returns whether there was one for @p severity. */
bool takeToken(LogOutput &output, LogSeverity severity, TimePoint now)
{
    if (!output.isLimited) {
        return true;
    }
    const double seconds = output.refilledAt == TimePoint{} ? 0.0 : toMilliseconds(now - output.refilledAt) / 1000.0;
    output.tokens = std::min(LineBurst, output.tokens + seconds * LinesPerSecond);
    output.refilledAt = now;
    const double needed = severity == LogSeverity::Info ? ReservedLines + 1.0 : 1.0;
    if (output.tokens < needed) {
        return false;
    }
    output.tokens -= 1.0;
    return true;
}

void writeLine(LogOutput &output, const std::string &line)
{
    const ssize_t written = ::write(output.descriptor, line.data(), line.size());
    if (written != static_cast<ssize_t>(line.size())) {
        ++output.droppedLines;
    }
}

std::string quoteIfNeeded(const std::string &value)
{
    const bool isPlain = !value.empty() && value.find_first_of(" \"=\n\r\t") == std::string::npos;
    if (isPlain) {
        return value;
    }
    std::string text = "\"";
    for (const char character : value) {
        if (character == '"' || character == '\\') {
            text.push_back('\\');
        }
        text.push_back(character == '\n' || character == '\r' ? ' ' : character);
    }
    return text + '"';
}

}

void useStandardOutputForLogs()
{
    LogOutput &output = logOutput();
    // Without a reader, lines are lost, but the program goes on.
    static_cast<void>(std::signal(SIGPIPE, SIG_IGN));
    output.descriptor = STDOUT_FILENO;
    output.isLimited = true;
    // A full pipe drops the line instead of blocking the program.
    const int flags = ::fcntl(STDOUT_FILENO, F_GETFL);
    static_cast<void>(::fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK));
}

const std::vector<LogEventDescription> &logEvents()
{
    using enum LogSeverity;
    static const std::vector<LogEventDescription> s_events = {
        {LogEvent::ProgramStarted, Info, "program_started", "The program has read its settings and starts."},
        {LogEvent::ProgramStopping, Info, "program_stopping", "A signal asked the program to stop; it finishes the work in flight first."},
        {LogEvent::ProgramStopped, Info, "program_stopped", "The program has stopped."},
        {LogEvent::ListenFailed, Error, "listen_failed", "The program cannot listen on a port and exits."},
        {LogEvent::ConfigurationInForce, Info, "configuration_in_force", "entryd applied a new configuration; the fields name its versions."},
        {LogEvent::ControlLost, Warning, "control_lost", "entryd lost its connection to controld and continues with the last state that it received."},
        {LogEvent::ControlConnected, Info, "control_connected", "entryd is connected to controld and receives updates."},
        {LogEvent::UpstreamEjected,
         Warning,
         "upstream_ejected",
         "An upstream failed, or was slow compared with its peers, and was ejected; it receives trial calls only."},
        {LogEvent::UpstreamReturned, Info, "upstream_returned", "An ejected upstream passed its trial calls and receives work again."},
        {LogEvent::MemberStateChanged, Warning, "member_state_changed", "A member became suspect, was declared dead or announced that it leaves."},
        {LogEvent::MemberRefuted,
         Warning,
         "member_refuted",
         "Other members reported this member as suspect or dead; it refuted them with a higher incarnation."},
        {LogEvent::ProcessResumed,
         Warning,
         "process_resumed",
         "This process was paused for longer than a probe period; it does not suspect members whose acks it missed meanwhile."},
        {LogEvent::WatcherChanged, Info, "watcher_changed", "This member started or stopped watching the platform."},
        {LogEvent::ConfigurationKnown, Info, "configuration_known", "controld has the complete configuration and sends it to entryd."},
        {LogEvent::EntrySilent,
         Warning,
         "entry_silent",
         "entryd of this VM sends no heartbeats on its open stream; the VM is not listed for callers until it does."},
        {LogEvent::PlatformUp, Info, "platform_up", "The platform answers calls."},
        {LogEvent::PlatformDown, Warning, "platform_down", "Consecutive calls to the platform failed; the last configuration stays in force."},
        {LogEvent::ConfigurationRejected, Error, "configuration_rejected", "A configuration object is invalid; its last valid version stays in force."},
        {LogEvent::DirectoryUnavailable,
         Warning,
         "directory_unavailable",
         "No entry VM answered a directory query; the calls that waited for the answer are not run."},
        {LogEvent::DirectoryMalformed, Warning, "directory_malformed", "A directory answer cannot be decoded."},
        {LogEvent::RecordFailed, Error, "record_failed", "The file for the call records cannot be written; the program exits."},
        {LogEvent::CallSent, Info, "call_sent", "A call is sent to an upstream; the fields give the load report that the choice was based on, and its age."},
        {LogEvent::AttemptFailed, Warning, "attempt_failed", "An attempt to run a call on an upstream failed."},
        {LogEvent::CallEnded,
         Info,
         "call_ended",
         "The final reply is sent to the caller; the fields give its outcome and reason, and the version of the routes by which the call was decided."},
        {LogEvent::CallAbandoned, Info, "call_abandoned", "The caller closed its connection before the reply was sent."},
        {LogEvent::RoutesInForce,
         Info,
         "routes_in_force",
         "gatewayd applied a new route table; the fields give its version, the one before, and from whom and at which revision of the store it came."},
        {LogEvent::UpstreamsChanged, Info, "upstreams_changed", "The registered upstreams changed."},
        {LogEvent::ReadinessChanged, Info, "readiness_changed", "gatewayd became ready for callers, or is no longer ready."},
        {LogEvent::ObjectUnusable, Warning, "object_unusable", "An object in the store cannot be decoded and is ignored."},
        {LogEvent::EntriesChanged, Info, "entries_changed", "The entry VMs that the directory can return changed."},
        {LogEvent::UpstreamLeaving, Info, "upstream_leaving", "An upstream said in an answer that it leaves; it gets no new calls."},
        {LogEvent::UpstreamQuiet, Info, "upstream_quiet", "An upstream that refused a call asked for no calls for the given time."},
        {LogEvent::ObjectsUnnamed, Warning, "objects_unnamed", "Objects in the store have no name, or too long a one, and are ignored."},
        {LogEvent::ForeignResponse,
         Warning,
         "foreign_response",
         "A response on an upstream's connection does not belong to the request that waits, and is discarded."},
        {LogEvent::MemoryLimitReached,
         Warning,
         "memory_limit",
         "Messages of all connections together take too much memory; the largest are refused, or their connections closed."},
        {LogEvent::StoreLost, Warning, "store_lost", "A call to the store failed; the last state stays in force."},
        {LogEvent::StoreReturned, Info, "store_returned", "The store answers again."},
        {LogEvent::LogLinesDropped,
         Warning,
         "log_lines_dropped",
         "Log lines were dropped, because they exceeded the rate limit or the reader was too slow; the field gives their number."},
        {LogEvent::EvacuationsChanged, Info, "evacuations_changed", "The availability zones that operators want to be empty changed; the field names them."},
        {LogEvent::ConnectionReplaced,
         Warning,
         "connection_replaced",
         "A port has as many connections as it may have; the one that gives way first is closed for a new one."},
        {LogEvent::AcceptFailed,
         Error,
         "accept_failed",
         "A connection cannot be accepted, for example for lack of descriptors; the port accepts again after a moment."},
        {LogEvent::ColdUpstreamsChanged,
         Info,
         "cold_upstreams_changed",
         "Upstreams whose calls are limited while they are cold became cold, or became warm or left; the fields give the number of cold ones and some names."},
        {LogEvent::ConnectionLimitReached,
         Warning,
         "connection_limit",
         "Calls need more connections to upstreams than this process may have; they are refused as not run. Logged once a second."},
        {LogEvent::BodyLimitTooLarge,
         Warning,
         "body_limit_too_large",
         "The configuration permits larger bodies than the memory can hold; those above the field `served` are refused."},
        {LogEvent::DescriptorsLimited,
         Warning,
         "descriptors_limited",
         "The system permits fewer file descriptors than the settings; the smaller number is used."},
        {LogEvent::ReloadRequested,
         Info,
         "reload_requested",
         "A signal asked for a reload of the settings, which has no effect: gatewayd reads its settings only when it starts."},
        {LogEvent::MalformedResponse,
         Warning,
         "malformed_response",
         "A server's response is malformed or too large; it is discarded, and its request may have run."},
        {LogEvent::RegistrationFailed, Warning, "registration_failed", "The fleet could not be registered in the store, or the registrations not be read."},
        {LogEvent::RegistrationsListed,
         Info,
         "registrations_listed",
         "The entry VMs that are registered in the store, or those of them that this one does not know, changed; the latter are pinged."},
        {LogEvent::FleetCompared,
         Info,
         "fleet_compared",
         "The fleet was compared with the registrations in the store; the fields give the number of entry VMs to reckon with, and of those without an answer."},
        {LogEvent::StoreReadingChanged,
         Info,
         "store_reading_changed",
         "gatewayd started or stopped to read the store itself; the fields give the age of its knowledge, -1 if it has none."},
        {LogEvent::FeedEnded, Warning, "feed_ended", "The feed of the store's objects from another entry VM ended or could not be opened."},
        {LogEvent::FeedMalformed, Error, "feed_malformed", "An entry VM sent a malformed update of the store's objects; its feed is closed."},
        {LogEvent::FirstReadFailed, Warning, "first_read_failed", "The first objects could not be read from the store; gatewayd waits for other entry VMs."},
        {LogEvent::WatchMissedChanges,
         Warning,
         "watch_missed_changes",
         "A check shows a change in the store that the waiting watch has not reported; gatewayd lists the objects again."},
        {LogEvent::StoreAnswerOutdated,
         Info,
         "store_answer_outdated",
         "An answer of the store is of an earlier era, or another entry VM told of later changes meanwhile; it is ignored. The fields give both eras."},
        {LogEvent::StoreEraChanged,
         Warning,
         "store_era_changed",
         "The store has returned from a copy of itself, and may have lost changes; gatewayd lists the objects again. The revision is the one known before."},
        {LogEvent::StoreObjectsHeld,
         Info,
         "store_objects_held",
         "The number of objects changed that are held in force because the store, which has returned from a copy, lacks their last changes."},
        {LogEvent::RoutesOutdated,
         Warning,
         "routes_outdated",
         "A route table was received whose version is lower than that of the one in force, and is not used; the fields give both, and from whom it came."},
        {LogEvent::StoreAnswerContradictory,
         Warning,
         "store_answer_contradictory",
         "A consistent answer of the store is older, in the same era, than what was known before it was asked for. A list replaces what was known, changes are "
         "ignored."},
        {LogEvent::CreditKeepersChanged,
         Info,
         "credit_keepers_changed",
         "The entry VMs changed from which gatewayd asks for credit of limits of the whole fleet; the fields name them."},
        {LogEvent::CreditKeepingChanged,
         Info,
         "credit_keeping_changed",
         "gatewayd started or stopped to keep shares of the limits of the whole fleet for other entry VMs."},
    };
    return s_events;
}

void logEvent(LogEvent event, const std::vector<LogField> &fields)
{
    const LogEventDescription &description = descriptionOf(event);
    LogOutput &output = logOutput();
    if (!takeToken(output, description.severity, Clock::now())) {
        ++output.droppedLines;
        return;
    }
    if (output.droppedLines > 0) {
        const std::uint64_t droppedLines = std::exchange(output.droppedLines, 0);
        logEvent(LogEvent::LogLinesDropped, {{"lines", droppedLines}});
    }
    const auto now = std::chrono::time_point_cast<std::chrono::milliseconds>(std::chrono::system_clock::now());
    std::string line = fmt::format("E{:04} {:%Y-%m-%dT%H:%M:%S}.{:03}Z {} {}",
                                   static_cast<int>(event),
                                   fmt::gmtime(std::chrono::system_clock::to_time_t(now)),
                                   now.time_since_epoch().count() % 1000,
                                   nameOf(description.severity),
                                   description.name);
    for (const LogField &field : fields) {
        line += fmt::format(" {}={}", field.key, quoteIfNeeded(field.value));
    }
    line.push_back('\n');
    writeLine(output, line);
}

}
