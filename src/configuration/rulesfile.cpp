#include "configuration/rulesfile.h"

#include "configuration/configurationcheck.h"
#include "core/parsenumber.h"

#include <fmt/format.h>
#include <yaml-cpp/yaml.h>

#include <algorithm>
#include <array>
#include <optional>
#include <set>

namespace Plantainweir {
namespace {

using Field = ConfigurationField;

/** Bounds the memory of the YAML parser; rules files are short. */
constexpr std::size_t MaximumRulesBytes = 256 * 1024;
constexpr std::array RulesKeys{Field::ProbesPerSecond, Field::WorkKinds};
constexpr std::array WorkKindKeys{Field::Name, Field::Rank, Field::TargetMs, Field::Worth, Field::Repeatability};

std::size_t lineOf(const YAML::Mark &mark)
{
    return mark.is_null() ? 0 : static_cast<std::size_t>(mark.line) + 1;
}

template<typename Keys>
std::string allowedKeys(const Keys &keys)
{
    std::string text;
    for (const Field key : keys) {
        text += fmt::format("{}{}", text.empty() ? "" : ", ", nameOf(key));
    }
    return text;
}

template<typename Enum>
std::string allowedNames()
{
    std::string text;
    for (const auto &row : enumNames(Enum{})) {
        text += fmt::format("{}{}", text.empty() ? "" : ", ", row.name);
    }
    return text;
}

/** Parses the YAML nodes of a rules file and collects errors with their lines. */
class RulesReader
{
public:
    explicit RulesReader(const std::string &file)
        : m_file(file)
    {
    }

    void read(const YAML::Node &root)
    {
        if (!root.IsMap()) {
            addError(1, fmt::format("the file is not a mapping; allowed keys: {}", allowedKeys(RulesKeys)));
            return;
        }
        checkKeys(root, RulesKeys);
        m_rules.probesPerSecond = readNumber(root, Field::ProbesPerSecond, std::nullopt);
        readWorkKinds(root);
        addContentErrors(root);
    }

    void addError(std::size_t line, std::string message)
    {
        m_errors.push_back({.file = m_file, .line = line, .message = std::move(message)});
    }

    std::vector<FileError> &errors()
    {
        return m_errors;
    }

    const Rules &rules() const
    {
        return m_rules;
    }

private:
    template<typename Keys>
    void checkKeys(const YAML::Node &node, const Keys &keys)
    {
        std::set<std::string> seen;
        for (const auto &entry : node) {
            const std::string key = entry.first.IsScalar() ? entry.first.Scalar() : std::string();
            const bool isAllowed = std::any_of(keys.begin(), keys.end(), [&key](Field allowed) {
                return nameOf(allowed) == key;
            });
            if (!isAllowed) {
                addError(lineOf(entry.first.Mark()), fmt::format("key is \"{}\"; allowed: {}", key, allowedKeys(keys)));
            }
            if (!seen.insert(key).second) {
                addError(lineOf(entry.first.Mark()), fmt::format("key {} appears twice; allowed: once", key));
            }
        }
    }

    void readWorkKinds(const YAML::Node &root)
    {
        const YAML::Node list = root[std::string(nameOf(Field::WorkKinds))];
        if (!list.IsDefined() || !list.IsSequence()) {
            addError(list.IsDefined() ? lineOf(list.Mark()) : 1, "work_kinds is not a list; allowed: a list of work kinds");
            m_unparsed.emplace(std::nullopt, Field::WorkKinds);
            return;
        }
        for (const YAML::Node &node : list) {
            const std::size_t item = m_rules.workKinds.size();
            m_lines.push_back(lineOf(node.Mark()));
            m_rules.workKinds.push_back(node.IsMap() ? readWorkKind(node, item) : WorkKind{});
            if (!node.IsMap()) {
                addError(m_lines.back(), fmt::format("the work kind is not a mapping; allowed keys: {}", allowedKeys(WorkKindKeys)));
                for (const Field key : WorkKindKeys) {
                    m_unparsed.emplace(item, key);
                }
            }
        }
    }

    WorkKind readWorkKind(const YAML::Node &node, std::size_t item)
    {
        checkKeys(node, WorkKindKeys);
        WorkKind kind;
        kind.name = readText(node, Field::Name, item).value_or(std::string());
        kind.rank = readNamed<Rank>(node, Field::Rank, item);
        const double targetMs = readNumber(node, Field::TargetMs, item);
        // Check the range before the conversion, since a large number overflows Duration.
        const bool isInRange = targetMs > 0.0 && targetMs <= toMilliseconds(MaximumTarget);
        kind.target = isInRange ? std::chrono::round<std::chrono::microseconds>(fromMilliseconds(targetMs)) : Duration::zero();
        kind.worth = readNumber(node, Field::Worth, item);
        kind.repeatability = readNamed<Repeatability>(node, Field::Repeatability, item);
        return kind;
    }

    std::optional<std::string> readText(const YAML::Node &node, Field key, std::optional<std::size_t> item)
    {
        const YAML::Node value = node[std::string(nameOf(key))];
        if (value.IsDefined() && value.IsScalar()) {
            return value.Scalar();
        }
        addError(lineOf(value.IsDefined() ? value.Mark() : node.Mark()), fmt::format("{} is missing; allowed: one value", nameOf(key)));
        m_unparsed.emplace(item, key);
        return std::nullopt;
    }

    double readNumber(const YAML::Node &node, Field key, std::optional<std::size_t> item)
    {
        const auto text = readText(node, key, item);
        const auto number = text ? parseNumber<double>(*text) : std::nullopt;
        if (text && !number) {
            addError(lineOf(node[std::string(nameOf(key))].Mark()), fmt::format("{} is \"{}\"; allowed: a number", nameOf(key), *text));
            m_unparsed.emplace(item, key);
        }
        return number.value_or(0.0);
    }

    template<typename Enum>
    Enum readNamed(const YAML::Node &node, Field key, std::optional<std::size_t> item)
    {
        const auto text = readText(node, key, item);
        const auto value = text ? valueNamed<Enum>(*text) : std::nullopt;
        if (text && !value) {
            addError(lineOf(node[std::string(nameOf(key))].Mark()), fmt::format("{} is \"{}\"; allowed: {}", nameOf(key), *text, allowedNames<Enum>()));
        }
        return value.value_or(Enum{});
    }

    void addContentErrors(const YAML::Node &root)
    {
        for (const ConfigurationError &error : validate(m_rules)) {
            if (!m_unparsed.contains({error.item, error.field})) {
                addError(error.item ? m_lines.at(*error.item) : lineOf(root.Mark()), error.message);
            }
        }
    }

    std::string m_file;
    Rules m_rules;
    std::vector<std::size_t> m_lines; ///< Line of each work kind.
    std::set<std::pair<std::optional<std::size_t>, Field>> m_unparsed; ///< Fields whose value could not be parsed; their errors have been added already.
    std::vector<FileError> m_errors;
};

}

Result<Rules> parseRules(std::string_view text, const std::string &file)
{
    RulesReader reader(file);
    if (text.size() > MaximumRulesBytes) {
        reader.addError(0, fmt::format("the file has {} bytes; allowed: at most {}", text.size(), MaximumRulesBytes));
        return fileFailure(reader.errors());
    }
    try { // yaml-cpp reports errors only through exceptions.
        reader.read(YAML::Load(std::string(text)));
    } catch (const YAML::Exception &error) {
        reader.addError(lineOf(error.mark), fmt::format("the file is not valid YAML: {}", error.msg));
    }
    if (!reader.errors().empty()) {
        return fileFailure(reader.errors());
    }
    return reader.rules();
}

Result<Rules> readRules(const std::string &path)
{
    BOOST_LEAF_AUTO(text, readSourceFile(path));
    return parseRules(text, path);
}

}
