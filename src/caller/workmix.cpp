#include "caller/workmix.h"

#include "core/parsenumber.h"

#include <QString>
#include <QStringList>
#include <fmt/core.h>

#include <algorithm>

namespace Plantainweir {
namespace {

struct KindSetting {
    std::string kind;
    std::string value;
};

Result<std::vector<KindSetting>> parsePairs(const char *flag, const std::string &text)
{
    std::vector<KindSetting> pairs;
    for (const QString &part : QString::fromStdString(text).split(QLatin1Char(','), Qt::SkipEmptyParts)) {
        const QStringList words = part.trimmed().split(QLatin1Char('='));
        if (words.size() != 2 || words[0].isEmpty() || words[1].isEmpty()) {
            return failure(fmt::format("--{} is \"{}\"; allowed: KIND=VALUE, several separated by commas", flag, text));
        }
        pairs.push_back({.kind = words[0].toStdString(), .value = words[1].toStdString()});
    }
    return pairs;
}

WorkMixEntry *find(std::vector<WorkMixEntry> &mix, const std::string &kind)
{
    const auto found = std::find_if(mix.begin(), mix.end(), [&kind](const WorkMixEntry &row) {
        return row.name == kind;
    });
    return found == mix.end() ? nullptr : &*found;
}

leaf::error_id unknownKind(const char *flag, const std::string &kind)
{
    return failure(fmt::format("--{} names \"{}\"; allowed: kinds of --mix", flag, kind));
}

/** Sets @p member of each kind that the setting names. */
Result<void> setTexts(std::vector<WorkMixEntry> &mix, const char *flag, const std::string &text, std::string WorkMixEntry::*member)
{
    BOOST_LEAF_AUTO(pairs, parsePairs(flag, text));
    for (const KindSetting &pair : pairs) {
        WorkMixEntry *kind = find(mix, pair.kind);
        if (kind == nullptr) {
            return unknownKind(flag, pair.kind);
        }
        kind->*member = pair.value;
    }
    return {};
}

Result<void> setAtMostOnce(std::vector<WorkMixEntry> &mix, const std::string &text)
{
    for (const QString &part : QString::fromStdString(text).split(QLatin1Char(','), Qt::SkipEmptyParts)) {
        WorkMixEntry *kind = find(mix, part.trimmed().toStdString());
        if (kind == nullptr) {
            return unknownKind("at-most-once", part.toStdString());
        }
        kind->repeatability = Repeatability::AtMostOnce;
    }
    return {};
}

}

Result<std::vector<WorkMixEntry>> parseMix(const WorkMixSettings &settings)
{
    BOOST_LEAF_AUTO(shares, parsePairs("mix", settings.mix));
    std::vector<WorkMixEntry> mix;
    for (const KindSetting &pair : shares) {
        const auto share = parseNumber<double>(pair.value);
        if (!share || *share <= 0) {
            return failure(fmt::format("--mix gives \"{}\" the share \"{}\"; allowed: a number above 0", pair.kind, pair.value));
        }
        mix.push_back({.name = pair.kind, .share = *share, .service = settings.service, .rank = pair.kind});
    }
    if (mix.empty()) {
        return failure("--mix is empty; allowed: KIND=SHARE, several separated by commas");
    }
    if (auto isSet = setTexts(mix, "service-of", settings.serviceOf, &WorkMixEntry::service); !isSet) {
        return isSet.error();
    }
    if (auto isSet = setTexts(mix, "rank-of", settings.rankOf, &WorkMixEntry::rank); !isSet) {
        return isSet.error();
    }
    if (auto isSet = setAtMostOnce(mix, settings.atMostOnce); !isSet) {
        return isSet.error();
    }
    for (const WorkMixEntry &kind : mix) {
        if (kind.service.empty()) {
            return failure(fmt::format("--service-of does not name \"{}\", and --service is empty", kind.name));
        }
    }
    return mix;
}

const WorkMixEntry &drawWorkKind(const std::vector<WorkMixEntry> &mix, std::mt19937_64 &random)
{
    double sum = 0.0;
    for (const WorkMixEntry &kind : mix) {
        sum += kind.share;
    }
    double drawn = std::uniform_real_distribution<double>(0.0, sum)(random);
    for (const WorkMixEntry &kind : mix) {
        drawn -= kind.share;
        if (drawn < 0) {
            return kind;
        }
    }
    return mix.back();
}

}
