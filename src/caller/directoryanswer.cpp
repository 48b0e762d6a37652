#include "caller/directoryanswer.h"

#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>
#include <fmt/core.h>

namespace Plantainweir {
namespace {

std::string textOf(const QJsonObject &object, const char *key)
{
    return object[QLatin1String(key)].toString().toStdString();
}

Result<DirectoryEntry> parseEntry(const QJsonObject &object)
{
    const std::string address = textOf(object, "address");
    const auto endpoint = parseEndpoint(address);
    if (!endpoint) {
        return failure(fmt::format("directory: address is \"{}\"; allowed: IP:port", address));
    }
    return DirectoryEntry{.address = *endpoint, .availabilityZone = textOf(object, "availabilityZone"), .keyOwner = textOf(object, "keyOwner")};
}

}

Result<DirectoryAnswer> parseDirectoryAnswer(const std::string &text, TimePoint now)
{
    const QJsonObject object = QJsonDocument::fromJson(QByteArray::fromStdString(text)).object();
    const qint64 validForMs = object["validForMs"].toInteger(-1);
    if (validForMs < 0) {
        return failure("directory: validForMs is missing or not a whole number");
    }
    DirectoryAnswer answer{.service = textOf(object, "service"), .expiresAt = now + std::chrono::milliseconds(validForMs), .entries = {}};
    for (const QJsonValue value : object["entries"].toArray()) {
        BOOST_LEAF_AUTO(entry, parseEntry(value.toObject()));
        answer.entries.push_back(entry);
    }
    if (answer.entries.empty()) {
        return failure("directory: entries is empty or missing");
    }
    return answer;
}

}
