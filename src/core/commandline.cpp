#include "core/commandline.h"

#include "core/parseduration.h"
#include "core/parsenumber.h"

#include <boost/program_options.hpp>

#include <QString>
#include <QStringList>
#include <fmt/core.h>

#include <algorithm>
#include <cctype>
#include <functional>
#include <map>
#include <sstream>

namespace po = boost::program_options;

namespace Plantainweir {
namespace {

using Validator = std::function<bool(const std::string &)>;

struct Setting {
    std::string allowed; ///< Allowed values, printed after "allowed:".
    Validator isValid;
    bool isSwitch = false;
    bool isOptional = false; ///< An empty value means that the setting is left out.
    std::optional<std::string> defaultValue;
    std::string help;
};

std::string environmentName(const std::string &flag)
{
    std::string name = "PLANTAINWEIR_";
    for (const char letter : flag) {
        name.push_back(letter == '-' ? '_' : static_cast<char>(std::toupper(static_cast<unsigned char>(letter))));
    }
    return name;
}

std::vector<std::string> splitList(const std::string &text)
{
    std::vector<std::string> parts;
    for (const QString &part : QString::fromStdString(text).split(QLatin1Char(','), Qt::SkipEmptyParts)) {
        parts.push_back(part.trimmed().toStdString());
    }
    return parts;
}

}

class CommandLine::Private
{
public:
    void add(const std::string &flag, Setting setting)
    {
        m_order.push_back(flag);
        m_settings.emplace(flag, std::move(setting));
    }

    void makeOptional(const std::string &flag)
    {
        Setting &setting = m_settings.at(flag);
        setting.isOptional = true;
        setting.defaultValue = "";
    }

    po::options_description description() const
    {
        po::options_description options("Settings (flag, environment variable in brackets)", 110, 60);
        options.add_options()("help", "print this help and exit")("version", "print the version and exit");
        for (const std::string &flag : m_order) {
            const Setting &setting = m_settings.at(flag);
            std::string help = fmt::format("[{}] {}; allowed: {}", environmentName(flag), setting.help, setting.allowed);
            if (setting.defaultValue && !setting.isSwitch) {
                help += fmt::format("; default: {}", setting.defaultValue->empty() ? "empty" : *setting.defaultValue);
            }
            if (setting.isSwitch) {
                options.add_options()(flag.c_str(), po::value<std::string>()->implicit_value("true")->zero_tokens(), help.c_str());
            } else {
                options.add_options()(flag.c_str(), po::value<std::string>()->value_name("VALUE"), help.c_str());
            }
        }
        options.add_options()("positional-words", po::value<std::vector<std::string>>(), "");
        return options;
    }

    void printHelp() const
    {
        fmt::print("Usage: {} [settings]{}\n{}\n", m_program, m_positionalName.empty() ? "" : " " + m_positionalName, m_summary);
        if (!m_positionalHelp.empty()) {
            fmt::print("\n{}\n", m_positionalHelp);
        }
        std::ostringstream text;
        text << description();
        std::string shown = text.str();
        // The option that collects positional arguments is internal and not shown.
        const auto hidden = shown.find("  --positional-words");
        fmt::print("\n{}", shown.substr(0, hidden));
    }

    std::optional<ExitStatus> fail(const std::string &message) const
    {
        fmt::print(stderr, "{}: {}\n", m_program, message);
        return ExitStatus::Usage;
    }

    /** Returns the arguments without optional settings that are empty, which Boost.Program_options rejects. */
    std::vector<std::string> givenArguments(int argc, const char *const *argv) const
    {
        std::vector<std::string> arguments(argv + 1, argv + std::max(argc, 1));
        std::erase_if(arguments, [this](const std::string &argument) {
            return std::any_of(m_settings.begin(), m_settings.end(), [&argument](const auto &entry) {
                return entry.second.isOptional && argument == "--" + entry.first + "=";
            });
        });
        return arguments;
    }

    std::optional<ExitStatus> check(const po::variables_map &given)
    {
        for (const std::string &flag : m_order) {
            const Setting &setting = m_settings.at(flag);
            if (given.count(flag) == 0 && !setting.defaultValue) {
                return fail(fmt::format("--{} is missing; allowed: {}", flag, setting.allowed));
            }
            const std::string value = given.count(flag) != 0 ? given[flag].as<std::string>() : *setting.defaultValue;
            const bool isUnset = value.empty() && (given.count(flag) == 0 || setting.isOptional);
            if (!isUnset && !setting.isValid(value)) {
                return fail(fmt::format("--{} is \"{}\"; allowed: {}", flag, value, setting.allowed));
            }
            m_values[flag] = value;
        }
        return std::nullopt;
    }

    std::string m_program;
    std::string m_summary;
    std::string m_positionalName;
    std::string m_positionalHelp;
    int m_maximumPositional = 0;
    std::vector<std::string> m_order;
    std::map<std::string, Setting> m_settings;
    std::map<std::string, std::string> m_values;
    std::vector<std::string> m_positional;
};

CommandLine::CommandLine(std::string program, std::string summary)
    : d(std::make_unique<Private>())
{
    d->m_program = std::move(program);
    d->m_summary = std::move(summary);
}

CommandLine::~CommandLine() = default;

void CommandLine::addText(const std::string &flag, const std::string &help, std::optional<std::string> defaultValue)
{
    const auto isNotEmpty = [](const std::string &value) {
        return !value.empty();
    };
    d->add(flag, {.allowed = "text that is not empty", .isValid = isNotEmpty, .defaultValue = std::move(defaultValue), .help = help});
}

void CommandLine::addChoice(const std::string &flag, const std::string &help, std::vector<std::string> choices, std::optional<std::string> defaultValue)
{
    std::string allowed;
    for (const std::string &choice : choices) {
        allowed += (allowed.empty() ? "" : ", ") + choice;
    }
    const auto isChoice = [choices = std::move(choices)](const std::string &value) {
        return std::find(choices.begin(), choices.end(), value) != choices.end();
    };
    d->add(flag, {.allowed = allowed, .isValid = isChoice, .defaultValue = std::move(defaultValue), .help = help});
}

void CommandLine::addInteger(const std::string &flag,
                             const std::string &help,
                             std::int64_t minimum,
                             std::int64_t maximum,
                             std::optional<std::int64_t> defaultValue)
{
    const auto isInRange = [minimum, maximum](const std::string &value) {
        const auto parsed = parseNumber<std::int64_t>(value);
        return parsed && *parsed >= minimum && *parsed <= maximum;
    };
    const auto text = defaultValue ? std::optional(std::to_string(*defaultValue)) : std::nullopt;
    d->add(flag, {.allowed = fmt::format("a whole number from {} to {}", minimum, maximum), .isValid = isInRange, .defaultValue = text, .help = help});
}

void CommandLine::addNumber(const std::string &flag, const std::string &help, double minimum, double maximum, std::optional<double> defaultValue)
{
    const auto isInRange = [minimum, maximum](const std::string &value) {
        const auto parsed = parseNumber<double>(value);
        return parsed && *parsed >= minimum && *parsed <= maximum;
    };
    const auto text = defaultValue ? std::optional(fmt::format("{}", *defaultValue)) : std::nullopt;
    d->add(flag, {.allowed = fmt::format("a number from {} to {}", minimum, maximum), .isValid = isInRange, .defaultValue = text, .help = help});
}

void CommandLine::addDuration(const std::string &flag, const std::string &help, std::optional<std::string> defaultValue)
{
    const auto isDuration = [](const std::string &value) {
        return parseDuration(value).has_value();
    };
    d->add(flag, {.allowed = "a time with its unit, such as 1500ms or 2s", .isValid = isDuration, .defaultValue = std::move(defaultValue), .help = help});
}

void CommandLine::addOptionalNumber(const std::string &flag, const std::string &help, double minimum, double maximum)
{
    addNumber(flag, help, minimum, maximum);
    d->makeOptional(flag);
}

void CommandLine::addOptionalDuration(const std::string &flag, const std::string &help)
{
    addDuration(flag, help);
    d->makeOptional(flag);
}

void CommandLine::addEndpoint(const std::string &flag, const std::string &help, std::optional<std::string> defaultValue)
{
    const auto isEndpoint = [](const std::string &value) {
        return parseEndpoint(value).has_value();
    };
    d->add(flag, {.allowed = "IP:port with an IP number, or [IPv6]:port", .isValid = isEndpoint, .defaultValue = std::move(defaultValue), .help = help});
}

void CommandLine::addEndpointList(const std::string &flag, const std::string &help)
{
    const auto isList = [](const std::string &value) {
        const auto parts = splitList(value);
        return std::all_of(parts.begin(), parts.end(), [](const std::string &part) {
            return parseEndpoint(part).has_value();
        });
    };
    d->add(flag, {.allowed = "IP:port, several separated by commas", .isValid = isList, .defaultValue = "", .help = help});
}

void CommandLine::addSwitch(const std::string &flag, const std::string &help)
{
    const auto isBoolean = [](const std::string &value) {
        return value == "true" || value == "false";
    };
    d->add(flag, {.allowed = "true or false", .isValid = isBoolean, .isSwitch = true, .defaultValue = "false", .help = help});
}

void CommandLine::addPositional(const std::string &name, const std::string &help, int maximum)
{
    d->m_positionalName = name;
    d->m_positionalHelp = help;
    d->m_maximumPositional = maximum;
}

std::optional<ExitStatus> CommandLine::parse(int argc, const char *const *argv)
{
    const po::options_description options = d->description();
    po::positional_options_description positional;
    positional.add("positional-words", d->m_maximumPositional);
    po::variables_map given;
    try { // Boost.Program_options reports errors only through exceptions.
        po::store(po::command_line_parser(d->givenArguments(argc, argv)).options(options).positional(positional).run(), given);
        const auto flagOf = [this](const std::string &variable) -> std::string {
            const auto match = std::find_if(d->m_order.begin(), d->m_order.end(), [&variable](const std::string &flag) {
                return environmentName(flag) == variable;
            });
            return match == d->m_order.end() ? std::string() : *match;
        };
        po::store(po::parse_environment(options, flagOf), given);
    } catch (const po::error &error) {
        return d->fail(fmt::format("{}; see --help", error.what()));
    }
    if (given.count("help") != 0) {
        d->printHelp();
        return ExitStatus::Success;
    }
    if (given.count("version") != 0) {
        fmt::print("{} {}\n", d->m_program, PLANTAINWEIR_VERSION);
        return ExitStatus::Success;
    }
    if (given.count("positional-words") != 0) {
        d->m_positional = given["positional-words"].as<std::vector<std::string>>();
    }
    return d->check(given);
}

std::string CommandLine::text(const std::string &flag) const
{
    return d->m_values.at(flag);
}

std::int64_t CommandLine::integer(const std::string &flag) const
{
    return parseNumber<std::int64_t>(text(flag)).value_or(0);
}

double CommandLine::number(const std::string &flag) const
{
    return parseNumber<double>(text(flag)).value_or(0.0);
}

Duration CommandLine::duration(const std::string &flag) const
{
    return parseDuration(text(flag)).value_or(Duration{});
}

std::optional<double> CommandLine::optionalNumber(const std::string &flag) const
{
    return parseNumber<double>(text(flag));
}

std::optional<Duration> CommandLine::optionalDuration(const std::string &flag) const
{
    return parseDuration(text(flag));
}

Endpoint CommandLine::endpoint(const std::string &flag) const
{
    return parseEndpoint(text(flag)).value_or(Endpoint{});
}

std::vector<Endpoint> CommandLine::endpointList(const std::string &flag) const
{
    std::vector<Endpoint> endpoints;
    for (const std::string &part : splitList(text(flag))) {
        endpoints.push_back(parseEndpoint(part).value_or(Endpoint{}));
    }
    return endpoints;
}

bool CommandLine::isOn(const std::string &flag) const
{
    return text(flag) == "true";
}

const std::vector<std::string> &CommandLine::positional() const
{
    return d->m_positional;
}

}
