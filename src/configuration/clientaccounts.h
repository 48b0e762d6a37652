#pragma once

#include "configuration/routetable.h"

#include <map>
#include <string>
#include <string_view>

/** Validation of client accounts, and the search for the account of a key. */
namespace Plantainweir {

/** Returns whether @p text, the name or a key of an account, can be sent in a header field: 1 to 256 visible ASCII characters. */
bool isHeaderText(std::string_view text);

/** Returns whether the limits of @p account are numbers of calls. */
bool hasValidLimits(const ClientAccount &account);

/**
 * Returns whether each account of @p table can be told from the others and named to upstreams.
 *
 * An account whose name is invalid must have no keys, and no two accounts may have the same key.
 */
bool hasValidAccounts(const RouteTable &table);

/** The accounts of one route table by their keys. The pointers point into that table. */
using AccountIndex = std::map<KeyDigest, const ClientAccount *>;

AccountIndex makeAccountIndex(const RouteTable &table);

/** Returns the account that holds the key with @p digest, or null. */
const ClientAccount *findAccount(const AccountIndex &index, const KeyDigest &digest);

}
