#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>

/** Digests of a set of versioned items, for anti-entropy between two processes. */
namespace Plantainweir {

/** Number of buckets into which the items of a set fall by their keys. */
inline constexpr std::size_t DigestBucketCount = 64;

/**
 * One digest for each bucket: the exclusive or of the hashes of its items.
 *
 * Adding and removing an item is the same cheap operation, so that a digest is kept up to date at a cost that does not
 * depend on the size of the set.
 */
using BucketDigests = std::array<std::uint64_t, DigestBucketCount>;

/** Returns the bucket of @p key. */
std::size_t bucketOf(const std::string &key);
/** Adds the item to @p digests, or removes it if it is in there. */
void toggleItem(BucketDigests &digests, const std::string &key, std::uint64_t version);
/** Returns one digest of all buckets; equal for equal sets. */
std::uint64_t combine(const BucketDigests &digests);

}
