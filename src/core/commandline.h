#pragma once

#include "core/endpoint.h"
#include "core/time.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Plantainweir {

/** Exit statuses that all programs share. */
enum class ExitStatus {
    Success = 0,
    Failure = 1, ///< The operation was attempted and failed.
    Usage = 2, ///< A flag, environment variable or file is invalid; nothing was attempted.
};

/**
 * Reads a program's settings from flags and environment variables.
 *
 * The flag `--caller-port` has the environment variable `PLANTAINWEIR_CALLER_PORT`; a flag overrides its variable.
 * `--help` and `--version` always exist. For an invalid setting, one line with the flag, its value and the allowed
 * values is printed to standard error.
 */
class CommandLine
{
public:
    /** @param program name of the program as installed; @param summary one sentence for `--help`. */
    CommandLine(std::string program, std::string summary);
    ~CommandLine();
    CommandLine(const CommandLine &) = delete;
    CommandLine &operator=(const CommandLine &) = delete;

    /** Adds a text setting; without a default it is required. */
    void addText(const std::string &flag, const std::string &help, std::optional<std::string> defaultValue = std::nullopt);
    /** Adds a text setting that must be one of @p choices. */
    void addChoice(const std::string &flag, const std::string &help, std::vector<std::string> choices, std::optional<std::string> defaultValue = std::nullopt);
    /** Adds an integer setting from @p minimum to @p maximum; without a default it is required. */
    void addInteger(const std::string &flag,
                    const std::string &help,
                    std::int64_t minimum,
                    std::int64_t maximum,
                    std::optional<std::int64_t> defaultValue = std::nullopt);
    /** Adds a number setting from @p minimum to @p maximum; without a default it is required. */
    void addNumber(const std::string &flag, const std::string &help, double minimum, double maximum, std::optional<double> defaultValue = std::nullopt);
    /** Adds a duration with a unit, such as `1500ms` or `2s`; without a default it is required. */
    void addDuration(const std::string &flag, const std::string &help, std::optional<std::string> defaultValue = std::nullopt);
    /** Adds a number setting that may be left out or empty, see optionalNumber(). */
    void addOptionalNumber(const std::string &flag, const std::string &help, double minimum, double maximum);
    /** Adds a duration that may be left out or empty, see optionalDuration(). */
    void addOptionalDuration(const std::string &flag, const std::string &help);
    /** Adds an endpoint in the form `IP:port` or `[IPv6]:port`; without a default it is required. */
    void addEndpoint(const std::string &flag, const std::string &help, std::optional<std::string> defaultValue = std::nullopt);
    /** Adds a comma-separated list of endpoints, empty by default. */
    void addEndpointList(const std::string &flag, const std::string &help);
    /** Adds a switch that is off by default; its environment variable is `true` or `false`. */
    void addSwitch(const std::string &flag, const std::string &help);
    /** Accepts up to @p maximum positional arguments; @p help describes them. */
    void addPositional(const std::string &name, const std::string &help, int maximum);

    /**
     * Parses the arguments and the environment.
     * @return nothing if the program should continue, otherwise the exit status; the help, version or error has been printed.
     */
    std::optional<ExitStatus> parse(int argc, const char *const *argv);

    std::string text(const std::string &flag) const;
    std::int64_t integer(const std::string &flag) const;
    double number(const std::string &flag) const;
    Duration duration(const std::string &flag) const;
    /** Returns the number, or nothing if the setting is left out or empty. */
    std::optional<double> optionalNumber(const std::string &flag) const;
    /** Returns the duration, or nothing if the setting is left out or empty. */
    std::optional<Duration> optionalDuration(const std::string &flag) const;
    Endpoint endpoint(const std::string &flag) const;
    std::vector<Endpoint> endpointList(const std::string &flag) const;
    bool isOn(const std::string &flag) const;
    const std::vector<std::string> &positional() const;

private:
    class Private;
    std::unique_ptr<Private> d;
};

}
