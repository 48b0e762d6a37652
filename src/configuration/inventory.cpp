#include "configuration/inventory.h"

#include "configuration/configurationcheck.h"
#include "core/parsenumber.h"

#include <csv.h>
#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <limits>
#include <optional>
#include <set>

namespace Plantainweir {
namespace {

using Field = ConfigurationField;

constexpr std::array Columns{Field::Service, Field::Upstream, Field::Address, Field::AvailabilityZone, Field::Slots, Field::ConnectionLimit};
constexpr std::string_view ByteOrderMark = "\xEF\xBB\xBF";

struct CsvRow {
    std::size_t line = 0; ///< Line of its first character.
    std::vector<std::string> fields;
};

/** Rows of a CSV text, and the error if its quoting is invalid. */
struct CsvRows {
    std::vector<CsvRow> rows;
    std::size_t line = 1; ///< Current line of the parser.
    std::optional<FileError> error;
    CsvRow current;
};

void handleField(void *text, std::size_t size, void *context)
{
    auto &rows = *static_cast<CsvRows *>(context);
    rows.current.fields.emplace_back(static_cast<const char *>(text), size);
}

void handleRowEnd(int /*terminator*/, void *context)
{
    auto &rows = *static_cast<CsvRows *>(context);
    rows.rows.push_back(std::move(rows.current));
    rows.current = {};
}

/** Owns a parser of libcsv. */
class CsvParser
{
public:
    CsvParser()
    {
        csv_init(&m_parser, CSV_STRICT | CSV_STRICT_FINI);
    }
    ~CsvParser()
    {
        csv_free(&m_parser);
    }
    CsvParser(const CsvParser &) = delete;
    CsvParser &operator=(const CsvParser &) = delete;

    bool parse(std::string_view bytes, CsvRows &rows)
    {
        return csv_parse(&m_parser, bytes.data(), bytes.size(), handleField, handleRowEnd, &rows) == bytes.size();
    }

    /** Returns whether the next byte starts a row. */
    bool isBetweenRows() const
    {
        constexpr int RowNotBegun = 0; // libcsv's initial state; its header does not define the constant.
        return m_parser.pstate == RowNotBegun;
    }

    bool finish(CsvRows &rows)
    {
        return csv_fini(&m_parser, handleField, handleRowEnd, &rows) == 0;
    }

private:
    csv_parser m_parser{};
};

FileError quotingError(const std::string &file, std::size_t line)
{
    return {.file = file,
            .line = line,
            .message = "the quoting is invalid; allowed: fields in double quotes, with inner double quotes doubled; the rest of the file was not read"};
}

CsvRows splitRows(std::string_view text, const std::string &file)
{
    CsvRows rows;
    CsvParser parser;
    while (!text.empty()) {
        const std::size_t size = std::min(text.find('\n'), text.size() - 1) + 1;
        if (parser.isBetweenRows()) {
            rows.current.line = rows.line;
        }
        if (!parser.parse(text.substr(0, size), rows)) {
            rows.error = quotingError(file, rows.line);
            return rows;
        }
        text.remove_prefix(size);
        ++rows.line;
    }
    const std::size_t lastLine = rows.current.line;
    if (!parser.finish(rows)) {
        rows.error = quotingError(file, lastLine);
    }
    return rows;
}

/** Returns the canonical form of a column name in the header: lower case, with underscores. */
std::string normalizedColumn(std::string name)
{
    for (char &letter : name) {
        if (letter == ' ' || letter == '-') {
            letter = '_';
        } else if (letter >= 'A' && letter <= 'Z') {
            letter = static_cast<char>(letter - 'A' + 'a');
        }
    }
    return name;
}

/** Parses the rows below the header and records the line of each upstream. */
class InventoryReader
{
public:
    explicit InventoryReader(const std::string &file)
        : m_file(file)
    {
    }

    /** Returns whether the header has all required columns. */
    bool readHeader(const CsvRow &header)
    {
        m_columnCount = header.fields.size();
        std::string missing;
        for (std::size_t index = 0; index < Columns.size(); ++index) {
            const auto isColumn = [name = nameOf(Columns[index])](const std::string &field) {
                return normalizedColumn(field) == name;
            };
            const auto column = std::find_if(header.fields.begin(), header.fields.end(), isColumn);
            m_positions[index] = static_cast<std::size_t>(column - header.fields.begin());
            if (column == header.fields.end()) {
                missing += fmt::format("{}{}", missing.empty() ? "" : ", ", nameOf(Columns[index]));
            } else if (std::find_if(std::next(column), header.fields.end(), isColumn) != header.fields.end()) {
                addError(header.line, fmt::format("column {} appears twice; allowed: once", nameOf(Columns[index])));
            }
        }
        if (!missing.empty()) {
            addError(header.line,
                     fmt::format("the header is missing {}; allowed: service, upstream, address, availability_zone, slots, connection_limit", missing));
        }
        return missing.empty();
    }

    void readRow(const CsvRow &row)
    {
        if (row.fields.size() != m_columnCount) {
            addError(row.line, fmt::format("the row has {} fields; allowed: {}, as in the header", row.fields.size(), m_columnCount));
            return;
        }
        const std::string &name = fieldOf(row, Field::Service);
        Service &service = m_services[name];
        service.name = name;
        ServiceSource &source = m_sources[name];
        const std::size_t item = service.upstreams.size();
        source.lines.push_back(row.line);
        Upstream upstream{.name = fieldOf(row, Field::Upstream),
                          .endpoint = {},
                          .availabilityZone = fieldOf(row, Field::AvailabilityZone),
                          .slots = readNumber(row, Field::Slots, MaximumSlots, source, item),
                          .connectionLimit = readNumber(row, Field::ConnectionLimit, MaximumConnectionLimit, source, item)};
        const std::string &address = fieldOf(row, Field::Address);
        if (const auto endpoint = parseEndpoint(address)) {
            upstream.endpoint = *endpoint;
        } else {
            source.unparsed.emplace(item, Field::Address);
            addError(row.line, fmt::format("address is \"{}\"; allowed: IP:port or [IPv6]:port, an IP number and a port from 1 to 65535", address));
        }
        service.upstreams.push_back(std::move(upstream));
    }

    /** Validates the services and adds their errors. */
    void checkServices()
    {
        for (const auto &[name, service] : m_services) {
            const ServiceSource &source = m_sources.at(name);
            for (const ConfigurationError &error : validate(service)) {
                const bool isKnown = error.item && source.unparsed.contains({*error.item, error.field});
                if (!isKnown) {
                    addError(source.lines.at(error.item.value_or(0)), error.message);
                }
            }
        }
    }

    void addError(std::size_t line, std::string message)
    {
        m_errors.push_back({.file = m_file, .line = line, .message = std::move(message)});
    }

    std::vector<FileError> &errors()
    {
        return m_errors;
    }

    ServiceMap &services()
    {
        return m_services;
    }

private:
    struct ServiceSource {
        std::vector<std::size_t> lines; ///< Line of each upstream.
        std::set<std::pair<std::size_t, Field>> unparsed; ///< Fields whose text could not be parsed; their errors have been added already.
    };

    const std::string &fieldOf(const CsvRow &row, Field column) const
    {
        const auto index = static_cast<std::size_t>(std::find(Columns.begin(), Columns.end(), column) - Columns.begin());
        return row.fields[m_positions[index]];
    }

    std::uint32_t readNumber(const CsvRow &row, Field column, std::uint32_t maximum, ServiceSource &source, std::size_t item)
    {
        const std::string &text = fieldOf(row, column);
        if (const auto number = parseNumber<std::uint32_t>(text)) {
            return *number;
        }
        source.unparsed.emplace(item, column);
        addError(row.line, fmt::format("{} is \"{}\"; allowed: a whole number from 1 to {}", nameOf(column), text, maximum));
        return column == Field::ConnectionLimit ? std::numeric_limits<std::uint32_t>::max() : 0;
    }

    std::string m_file;
    std::size_t m_columnCount = 0;
    std::array<std::size_t, Columns.size()> m_positions{};
    std::vector<FileError> m_errors;
    ServiceMap m_services;
    std::map<std::string, ServiceSource, std::less<>> m_sources;
};

}

Result<ServiceMap> parseInventory(std::string_view text, const std::string &file)
{
    if (text.starts_with(ByteOrderMark)) {
        text.remove_prefix(ByteOrderMark.size());
    }
    const CsvRows rows = splitRows(text, file);
    InventoryReader reader(file);
    if (rows.error) {
        reader.errors().push_back(*rows.error);
    }
    if (rows.rows.empty()) {
        reader.addError(0, "the file has no header; allowed: service, upstream, address, availability_zone, slots, connection_limit");
        return fileFailure(reader.errors());
    }
    if (reader.readHeader(rows.rows.front())) {
        std::for_each(std::next(rows.rows.begin()), rows.rows.end(), [&reader](const CsvRow &row) {
            reader.readRow(row);
        });
        reader.checkServices();
    }
    if (rows.rows.size() == 1 && reader.errors().empty()) {
        reader.addError(0, "the inventory has no upstream; allowed: at least one row below the header");
    }
    if (!reader.errors().empty()) {
        return fileFailure(reader.errors());
    }
    return std::move(reader.services());
}

Result<ServiceMap> readInventory(const std::string &path)
{
    BOOST_LEAF_AUTO(text, readSourceFile(path));
    return parseInventory(text, path);
}

}
