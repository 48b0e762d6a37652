#include "rpc/creditmessages.h"

#include "controllers/seenfleetsizes.h"

#include <algorithm>

namespace Plantainweir {
namespace {

constexpr std::size_t MaximumNameBytes = 64;
constexpr std::size_t MaximumLineTextBytes = 512;
constexpr std::uint32_t MaximumRetryAfterMs = 60'000;
/** A little more than a century, so that sums of a time and a duration stay in range. */
constexpr std::uint64_t MaximumNanoseconds = 1ULL << 62;

std::uint64_t toNanoseconds(TimePoint time)
{
    return static_cast<std::uint64_t>(std::max<std::int64_t>(0, time.time_since_epoch().count()));
}

std::optional<TimePoint> toTimePoint(std::uint64_t nanoseconds)
{
    return nanoseconds > MaximumNanoseconds ? std::nullopt : std::optional(TimePoint(Duration(static_cast<std::int64_t>(nanoseconds))));
}

void addBody(CreditProtocol::Datagram &message, const ShareDelegation &body)
{
    auto &delegation = *message.mutable_delegation();
    delegation.set_keeper_instance(body.keeper);
    delegation.set_sequence(body.sequence);
    delegation.set_echoed_at(toNanoseconds(body.echoedAt));
    delegation.set_share(body.share);
}

void addBody(CreditProtocol::Datagram &message, const ShareReceipt &body)
{
    auto &receipt = *message.mutable_receipt();
    receipt.set_delegator_instance(body.delegator);
    receipt.set_sent_at(toNanoseconds(body.sentAt));
    receipt.set_released_up_to(body.releasedUpTo);
}

void addBody(CreditProtocol::Datagram &message, const CreditQuestion &body)
{
    auto &question = *message.mutable_question();
    question.set_sequence(body.sequence);
    question.mutable_line()->set_kind(static_cast<std::uint32_t>(body.line.kind));
    question.mutable_line()->set_scope(body.line.scope);
    question.mutable_line()->set_upstream(body.line.upstream);
    question.set_count(body.count);
}

void addBody(CreditProtocol::Datagram &message, const CreditAnswer &body)
{
    auto &answer = *message.mutable_answer();
    answer.set_borrower_instance(body.borrower);
    answer.set_sequence(body.sequence);
    answer.set_granted(body.granted);
    answer.set_retry_after_ms(static_cast<std::uint32_t>(std::chrono::ceil<std::chrono::milliseconds>(body.retryAfter).count()));
    answer.set_is_short(body.isShort);
}

void addBody(CreditProtocol::Datagram &message, const CreditReturn &body)
{
    message.mutable_credit()->set_sequence(body.sequence);
    message.mutable_credit()->set_total(body.total);
}

std::optional<CreditMessageBody> fromMessage(const CreditProtocol::Delegation &message)
{
    const auto echoedAt = toTimePoint(message.echoed_at());
    const bool isShareValid = message.share() >= 0.0 && message.share() <= 1.0;
    if (!echoedAt || !isShareValid) {
        return std::nullopt;
    }
    return ShareDelegation{.keeper = message.keeper_instance(), .sequence = message.sequence(), .echoedAt = *echoedAt, .share = message.share()};
}

std::optional<CreditMessageBody> fromMessage(const CreditProtocol::Receipt &message)
{
    const auto sentAt = toTimePoint(message.sent_at());
    if (!sentAt) {
        return std::nullopt;
    }
    return ShareReceipt{.delegator = message.delegator_instance(), .sentAt = *sentAt, .releasedUpTo = message.released_up_to()};
}

std::optional<CreditMessageBody> fromMessage(const CreditProtocol::Question &message)
{
    const CreditProtocol::Line &line = message.line();
    const bool areTextsValid = !line.scope().empty() && line.scope().size() <= MaximumLineTextBytes && line.upstream().size() <= MaximumLineTextBytes;
    const bool isCountValid = message.count() > 0 && message.count() <= MaximumAskedCredits;
    if (line.kind() >= enumCount<CreditKind>() || !areTextsValid || !isCountValid) {
        return std::nullopt;
    }
    return CreditQuestion{.sequence = message.sequence(),
                          .line = {.kind = static_cast<CreditKind>(line.kind()), .scope = line.scope(), .upstream = line.upstream()},
                          .count = message.count()};
}

std::optional<CreditMessageBody> fromMessage(const CreditProtocol::Answer &message)
{
    if (message.granted() > MaximumAskedCredits || message.retry_after_ms() > MaximumRetryAfterMs) {
        return std::nullopt;
    }
    return CreditAnswer{.borrower = message.borrower_instance(),
                        .sequence = message.sequence(),
                        .granted = message.granted(),
                        .retryAfter = std::chrono::milliseconds(message.retry_after_ms()),
                        .isShort = message.is_short()};
}

std::optional<CreditMessageBody> fromMessage(const CreditProtocol::Return &message)
{
    if (message.total() > MaximumAskedCredits) {
        return std::nullopt;
    }
    return CreditReturn{.sequence = message.sequence(), .total = message.total()};
}

std::optional<CreditMessageBody> bodyOf(const CreditProtocol::Datagram &message)
{
    switch (message.body_case()) {
    case CreditProtocol::Datagram::kDelegation:
        return fromMessage(message.delegation());
    case CreditProtocol::Datagram::kReceipt:
        return fromMessage(message.receipt());
    case CreditProtocol::Datagram::kQuestion:
        return fromMessage(message.question());
    case CreditProtocol::Datagram::kAnswer:
        return fromMessage(message.answer());
    case CreditProtocol::Datagram::kCredit:
        return fromMessage(message.credit());
    case CreditProtocol::Datagram::BODY_NOT_SET:
        break;
    }
    return std::nullopt;
}

}

std::string encodeCreditMessage(const CreditMessage &message)
{
    CreditProtocol::Datagram datagram;
    datagram.set_sender(message.sender);
    datagram.set_instance(message.instance);
    datagram.set_fleet_size(static_cast<std::uint32_t>(message.fleetSize));
    datagram.set_fleet_size_validity_s(static_cast<std::uint32_t>(message.fleetSizeValidity.count()));
    std::visit(
        [&datagram](const auto &body) {
            addBody(datagram, body);
        },
        message.body);
    return datagram.SerializeAsString();
}

std::optional<CreditMessage> decodeCreditMessage(const std::string &bytes)
{
    CreditProtocol::Datagram datagram;
    if (bytes.size() > MaximumCreditDatagramBytes || !datagram.ParseFromString(bytes)) {
        return std::nullopt;
    }
    const bool isSenderValid = !datagram.sender().empty() && datagram.sender().size() <= MaximumNameBytes && datagram.instance() != 0;
    const bool isFleetValid = datagram.fleet_size() <= MaximumFleetSize && datagram.fleet_size_validity_s() <= std::chrono::seconds(FleetSizeValidity).count();
    const auto body = bodyOf(datagram);
    if (!isSenderValid || !isFleetValid || !body) {
        return std::nullopt;
    }
    return CreditMessage{.sender = datagram.sender(),
                         .instance = datagram.instance(),
                         .fleetSize = datagram.fleet_size(),
                         .fleetSizeValidity = std::chrono::seconds(datagram.fleet_size_validity_s()),
                         .body = *body};
}

}
