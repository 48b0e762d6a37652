#include "configuration/configurationjson.h"

#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>

#include <fmt/format.h>

#include <cmath>
#include <limits>

namespace Plantainweir {
namespace {

constexpr double MaximumExactInteger = 9007199254740992.0; // 2^53; JSON parsers may round larger integers.
constexpr auto WritesMember = "writes";

QString toQString(std::string_view text)
{
    return QString::fromUtf8(text.data(), static_cast<qsizetype>(text.size()));
}

std::string toText(const QJsonObject &object)
{
    return QJsonDocument(object).toJson(QJsonDocument::Compact).toStdString();
}

std::string excerptOf(const QJsonValue &value)
{
    constexpr qsizetype MaximumShown = 60;
    if (value.isUndefined()) {
        return "missing";
    }
    const QString text = QString::fromUtf8(QJsonDocument(QJsonArray{value}).toJson(QJsonDocument::Compact));
    return text.mid(1, std::min(text.size() - 2, MaximumShown)).toStdString();
}

leaf::error_id memberFailure(const std::string &member, const QJsonValue &value, std::string_view allowed)
{
    return failure(fmt::format("{} is {}; allowed: {}", member, excerptOf(value), allowed));
}

Result<QJsonObject> parseObject(std::string_view text)
{
    if (text.size() > MaximumObjectBytes) {
        return failure(fmt::format("the object has {} bytes; allowed: at most {}", text.size(), MaximumObjectBytes));
    }
    QJsonParseError error;
    const QJsonDocument document = QJsonDocument::fromJson(QByteArray(text.data(), static_cast<qsizetype>(text.size())), &error);
    if (error.error != QJsonParseError::NoError || !document.isObject()) {
        return failure(fmt::format("the text is not a JSON object: {} at byte {}", error.errorString().toStdString(), error.offset));
    }
    return document.object();
}

Result<std::string> stringMember(const QJsonObject &object, const std::string &member)
{
    const QJsonValue value = object.value(toQString(member));
    if (!value.isString()) {
        return memberFailure(member, value, "text");
    }
    return value.toString().toStdString();
}

Result<bool> booleanMember(const QJsonObject &object, const std::string &member)
{
    const QJsonValue value = object.value(toQString(member));
    if (!value.isBool()) {
        return memberFailure(member, value, "true or false");
    }
    return value.toBool();
}

Result<double> numberMember(const QJsonObject &object, const std::string &member)
{
    const QJsonValue value = object.value(toQString(member));
    if (!value.isDouble()) {
        return memberFailure(member, value, "a number");
    }
    return value.toDouble();
}

template<typename Integer>
Result<Integer> integerMember(const QJsonObject &object, const std::string &member)
{
    const double maximum = std::min(MaximumExactInteger, static_cast<double>(std::numeric_limits<Integer>::max()));
    const QJsonValue value = object.value(toQString(member));
    const double number = value.toDouble(-1.0);
    if (!value.isDouble() || number < 0.0 || number > maximum || std::floor(number) != number) {
        return memberFailure(member, value, fmt::format("a whole number from 0 to {:.0f}", maximum));
    }
    return static_cast<Integer>(number);
}

template<typename Enum>
Result<Enum> enumMember(const QJsonObject &object, const std::string &member)
{
    const QJsonValue value = object.value(toQString(member));
    const auto found = valueNamed<Enum>(value.toString().toStdString());
    if (!found) {
        std::string allowed;
        for (const auto &row : enumNames(Enum{})) {
            allowed += (allowed.empty() ? "" : ", ") + std::string(row.name);
        }
        return memberFailure(member, value, allowed);
    }
    return *found;
}

Result<QJsonArray> arrayMember(const QJsonObject &object, const std::string &member)
{
    const QJsonValue value = object.value(toQString(member));
    if (!value.isArray()) {
        return memberFailure(member, value, "a list");
    }
    return value.toArray();
}

QJsonArray encodeWrites(const std::vector<WriteRecord> &writes)
{
    QJsonArray array;
    for (const WriteRecord &write : writes) {
        array.append(QJsonObject{{"base", static_cast<double>(write.base)}, {"id", toQString(write.id)}});
    }
    return array;
}

QJsonObject encodeUpstream(const Upstream &upstream)
{
    return {
        {"name", toQString(upstream.name)},
        {"address", toQString(upstream.endpoint.address)},
        {"port", upstream.endpoint.port},
        {"availabilityZone", toQString(upstream.availabilityZone)},
        {"slots", static_cast<double>(upstream.slots)},
        {"connectionLimit", static_cast<double>(upstream.connectionLimit)},
        {"draining", upstream.isDraining},
    };
}

Result<Upstream> decodeUpstream(const QJsonObject &object)
{
    Upstream upstream;
    BOOST_LEAF_ASSIGN(upstream.name, stringMember(object, "name"));
    BOOST_LEAF_ASSIGN(upstream.endpoint.address, stringMember(object, "address"));
    BOOST_LEAF_ASSIGN(upstream.endpoint.port, integerMember<std::uint16_t>(object, "port"));
    BOOST_LEAF_ASSIGN(upstream.availabilityZone, stringMember(object, "availabilityZone"));
    BOOST_LEAF_ASSIGN(upstream.slots, integerMember<std::uint32_t>(object, "slots"));
    BOOST_LEAF_ASSIGN(upstream.connectionLimit, integerMember<std::uint32_t>(object, "connectionLimit"));
    BOOST_LEAF_ASSIGN(upstream.isDraining, booleanMember(object, "draining"));
    return upstream;
}

QJsonObject encodeWorkKind(const WorkKind &kind)
{
    return {
        {"name", toQString(kind.name)},
        {"rank", toQString(nameOf(kind.rank))},
        {"targetMs", toMilliseconds(kind.target)},
        {"worth", kind.worth},
        {"repeatability", toQString(nameOf(kind.repeatability))},
    };
}

Result<WorkKind> decodeWorkKind(const QJsonObject &object)
{
    constexpr double MaximumTargetMs = 86'400'000.0;
    WorkKind kind;
    BOOST_LEAF_ASSIGN(kind.name, stringMember(object, "name"));
    BOOST_LEAF_ASSIGN(kind.rank, enumMember<Rank>(object, "rank"));
    BOOST_LEAF_AUTO(targetMs, numberMember(object, "targetMs"));
    if (!(targetMs >= 0.0 && targetMs <= MaximumTargetMs)) {
        return memberFailure("targetMs", targetMs, fmt::format("a number from 0 to {:.0f}", MaximumTargetMs));
    }
    kind.target = std::chrono::round<std::chrono::microseconds>(fromMilliseconds(targetMs));
    BOOST_LEAF_ASSIGN(kind.worth, numberMember(object, "worth"));
    BOOST_LEAF_ASSIGN(kind.repeatability, enumMember<Repeatability>(object, "repeatability"));
    return kind;
}

}

std::string serviceObjectName(std::string_view service)
{
    return std::string(ServiceObjectPrefix) + std::string(service);
}

std::string encodeService(const Service &service, const std::vector<WriteRecord> &writes)
{
    QJsonArray upstreams;
    for (const Upstream &upstream : service.upstreams) {
        upstreams.append(encodeUpstream(upstream));
    }
    return toText({
        {"name", toQString(service.name)},
        {"removed", service.isRemoved},
        {"upstreams", upstreams},
        {WritesMember, encodeWrites(writes)},
    });
}

std::string encodeRules(const Rules &rules, const std::vector<WriteRecord> &writes)
{
    QJsonArray kinds;
    for (const WorkKind &kind : rules.workKinds) {
        kinds.append(encodeWorkKind(kind));
    }
    return toText({{"workKinds", kinds}, {"probesPerSecond", rules.probesPerSecond}, {WritesMember, encodeWrites(writes)}});
}

Result<Service> decodeService(std::string_view text)
{
    BOOST_LEAF_AUTO(object, parseObject(text));
    Service service;
    BOOST_LEAF_ASSIGN(service.name, stringMember(object, "name"));
    BOOST_LEAF_ASSIGN(service.isRemoved, booleanMember(object, "removed"));
    BOOST_LEAF_AUTO(upstreams, arrayMember(object, "upstreams"));
    for (const QJsonValue value : upstreams) {
        BOOST_LEAF_AUTO(upstream, decodeUpstream(value.toObject()));
        service.upstreams.push_back(std::move(upstream));
    }
    return service;
}

Result<Rules> decodeRules(std::string_view text)
{
    BOOST_LEAF_AUTO(object, parseObject(text));
    Rules rules;
    BOOST_LEAF_AUTO(kinds, arrayMember(object, "workKinds"));
    for (const QJsonValue value : kinds) {
        BOOST_LEAF_AUTO(kind, decodeWorkKind(value.toObject()));
        rules.workKinds.push_back(std::move(kind));
    }
    BOOST_LEAF_ASSIGN(rules.probesPerSecond, numberMember(object, "probesPerSecond"));
    return rules;
}

std::string encodeVersions(const Configuration &configuration)
{
    QJsonObject services;
    for (const auto &[name, service] : configuration.services) {
        services.insert(toQString(name), QString::number(service.version));
    }
    return toText({{"rules", QString::number(configuration.rules.version)}, {"services", services}});
}

std::vector<WriteRecord> decodeWriteRecords(std::string_view text)
{
    std::vector<WriteRecord> writes;
    const QJsonDocument document = QJsonDocument::fromJson(QByteArray(text.data(), static_cast<qsizetype>(text.size())));
    for (const QJsonValue value : document.object().value(WritesMember).toArray()) {
        const double base = value.toObject().value("base").toDouble(-1.0);
        if (base >= 0.0 && base <= MaximumExactInteger && writes.size() < MaximumWriteRecords) {
            writes.push_back({.base = static_cast<std::uint64_t>(base), .id = value.toObject().value("id").toString().toStdString()});
        }
    }
    return writes;
}

}
