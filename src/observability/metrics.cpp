#include "observability/metrics.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include <map>
#include <string_view>
#include <utility>

namespace Plantainweir {
namespace {

/** Label of the accounts that have none of their own. No account has this name, since it contains a space. */
constexpr std::string_view OtherAccounts = "all others";

template<typename Enum>
using CounterTable = std::array<prometheus::Counter *, enumCount<Enum>()>;

template<typename Enum>
CounterTable<Enum> makeCounters(prometheus::Registry &registry, const std::string &name, const std::string &help)
{
    auto &family = prometheus::BuildCounter().Name(name).Help(help).Register(registry);
    CounterTable<Enum> counters{};
    for (const auto &row : enumNames(Enum{})) {
        counters[static_cast<std::size_t>(row.value)] = &family.Add({{"reason", std::string(row.name)}});
    }
    return counters;
}

}

class Metrics::Private
{
public:
    Private()
        : m_refusals(makeCounters<RefusalReason>(m_registry, "plantainweir_refusals_total", "Calls answered with not run, by reason."))
        , m_unknowns(makeCounters<UnknownReason>(m_registry, "plantainweir_unknown_total", "Calls that may have run, by reason."))
        , m_retries(makeCounters<RetryReason>(m_registry, "plantainweir_retries_total", "Attempts after the first one, by reason."))
    {
        m_accountCalls
            = &prometheus::BuildCounter().Name("plantainweir_account_calls_total").Help("Finished calls by client account and outcome.").Register(m_registry);
        auto &family = prometheus::BuildCounter().Name("plantainweir_calls_total").Help("Finished calls by rank and outcome.").Register(m_registry);
        for (const auto &rank : enumNames(Rank{})) {
            for (const auto &outcome : enumNames(CallOutcome{})) {
                m_outcomes[static_cast<std::size_t>(rank.value)][static_cast<std::size_t>(outcome.value)]
                    = &family.Add({{"rank", std::string(rank.name)}, {"outcome", std::string(outcome.name)}});
            }
        }
    }

    using OutcomeCounters = CounterTable<CallOutcome>;

    OutcomeCounters &accountCounters(const std::string &account)
    {
        const bool hasLabel = m_accounts.contains(account) || m_accounts.size() < MaximumAccountLabels;
        const std::string label = hasLabel ? account : std::string(OtherAccounts);
        const auto [found, isNew] = m_accounts.try_emplace(label);
        if (isNew) {
            for (const auto &row : enumNames(CallOutcome{})) {
                found->second[static_cast<std::size_t>(row.value)] = &m_accountCalls->Add({{"account", label}, {"outcome", std::string(row.name)}});
            }
        }
        return found->second;
    }

    prometheus::Registry m_registry;
    CounterTable<RefusalReason> m_refusals;
    CounterTable<UnknownReason> m_unknowns;
    CounterTable<RetryReason> m_retries;
    std::array<OutcomeCounters, enumCount<Rank>()> m_outcomes{};
    prometheus::Family<prometheus::Counter> *m_accountCalls = nullptr;
    std::map<std::string, OutcomeCounters> m_accounts; ///< By label.
    std::map<std::string, prometheus::Gauge *> m_gauges;
    std::map<std::pair<std::string, std::string>, prometheus::Counter *> m_counters;
};

Metrics::Metrics()
    : d(std::make_unique<Private>())
{
}

Metrics::~Metrics() = default;

void Metrics::countOutcome(Rank rank, CallOutcome outcome)
{
    d->m_outcomes[static_cast<std::size_t>(rank)][static_cast<std::size_t>(outcome)]->Increment();
}

void Metrics::countRefusal(RefusalReason reason)
{
    d->m_refusals[static_cast<std::size_t>(reason)]->Increment();
}

void Metrics::countUnknown(UnknownReason reason)
{
    d->m_unknowns[static_cast<std::size_t>(reason)]->Increment();
}

void Metrics::countRetry(RetryReason reason)
{
    d->m_retries[static_cast<std::size_t>(reason)]->Increment();
}

void Metrics::countAccountCall(const std::string &account, CallOutcome outcome)
{
    d->accountCounters(account)[static_cast<std::size_t>(outcome)]->Increment();
}

void Metrics::setGauge(const std::string &name, const std::string &help, double value)
{
    auto &gauge = d->m_gauges[name];
    if (gauge == nullptr) {
        gauge = &prometheus::BuildGauge().Name(name).Help(help).Register(d->m_registry).Add({});
    }
    gauge->Set(value);
}

void Metrics::addToCounter(const std::string &name, const std::string &help, const std::string &reason, double amount)
{
    auto &counter = d->m_counters[{name, reason}];
    if (counter == nullptr) {
        const prometheus::Labels labels = reason.empty() ? prometheus::Labels{} : prometheus::Labels{{"reason", reason}};
        counter = &prometheus::BuildCounter().Name(name).Help(help).Register(d->m_registry).Add(labels);
    }
    counter->Increment(amount);
}

std::string Metrics::toText() const
{
    return prometheus::TextSerializer().Serialize(d->m_registry.Collect());
}

}
