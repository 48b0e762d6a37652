#include "tasks/directory.h"

#include "decision/directoryorder.h"

#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>

#include <algorithm>

namespace Plantainweir {
namespace {

/** How many entry VMs follow the owners, for a caller that reaches no owner. */
constexpr std::size_t FallbackEntries = 2;

std::vector<EntryMember> entriesFor(const RoutingState &routing, const std::string &service, std::mt19937_64 &random)
{
    const ServiceOwners &assignment = routing.owners.find(service)->second;
    const Service *configured = findService(routing, service);
    std::vector<EntryMember> entries;
    for (const std::size_t owner : drawDirectoryOrder(assignment, configured ? configured->upstreams : std::vector<Upstream>{}, random)) {
        entries.push_back(assignment.owners[owner]);
    }
    const std::size_t entryLimit = entries.size() + FallbackEntries;
    for (const EntryMember &member : routing.members) {
        const bool isListed = std::any_of(entries.begin(), entries.end(), [&member](const EntryMember &entry) {
            return entry.incarnation == member.incarnation;
        });
        if (!isListed && !member.isLeaving && entries.size() < entryLimit) {
            entries.push_back(member);
        }
    }
    return entries;
}

}

std::optional<std::string> makeDirectoryAnswer(const RoutingState &routing, const std::string &service, std::mt19937_64 &random)
{
    if (!routing.owners.contains(service)) {
        return std::nullopt;
    }
    QJsonArray entries;
    for (const EntryMember &member : entriesFor(routing, service, random)) {
        entries.append(QJsonObject{
            {"address", QString::fromStdString(toString(member.callerEndpoint))},
            {"availabilityZone", QString::fromStdString(member.availabilityZone)},
            {"keyOwner", QString::fromStdString(member.incarnation)},
        });
    }
    const QJsonObject answer{
        {"service", QString::fromStdString(service)},
        {"validForMs", static_cast<qint64>(DirectoryTimeToLive.count())},
        {"entries", entries},
    };
    return QJsonDocument(answer).toJson(QJsonDocument::Compact).toStdString();
}

}
