#pragma once

#include "controllers/creditmessage.h"

#include "credit.pb.h"

#include <optional>
#include <string>

/** Conversions between the datagrams of proto/credit.proto and the plain structs of the limits of the whole fleet. */
namespace Plantainweir {

namespace CreditProtocol = plantainweir::credit::v1;

/** Size of the largest credit datagram that is sent or decoded, in bytes. */
inline constexpr std::size_t MaximumCreditDatagramBytes = 1400;

/** Encodes @p message. */
std::string encodeCreditMessage(const CreditMessage &message);
/** Decodes @p bytes; returns nothing if they exceed @ref MaximumCreditDatagramBytes, are malformed or out of range. */
std::optional<CreditMessage> decodeCreditMessage(const std::string &bytes);

}
