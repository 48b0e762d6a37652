#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>

/** Digests of a set of versioned items, with which two processes find their differences (anti-entropy). */
namespace Plantainweir {

/** Number of buckets over which the items of a set are distributed by the hash of their keys. */
inline constexpr std::size_t DigestBucketCount = 64;

/**
 * One digest per bucket: the exclusive or of the hashes of its items.
 *
 * Adding and removing an item are the same operation, whose cost does not depend on the size of the set.
 */
using BucketDigests = std::array<std::uint64_t, DigestBucketCount>;

/** Returns the bucket of @p key. */
std::size_t bucketOf(const std::string &key);
/** Adds the item to @p digests, or removes it if they contain it. */
void toggleItem(BucketDigests &digests, const std::string &key, std::uint64_t version);
/** Returns one digest of all buckets, which is equal for equal sets. */
std::uint64_t combine(const BucketDigests &digests);

}
