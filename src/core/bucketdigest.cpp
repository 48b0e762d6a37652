#include "core/bucketdigest.h"

#include <xxhash.h>

#include <algorithm>
#include <numeric>

namespace Plantainweir {

std::size_t bucketOf(const std::string &key)
{
    return XXH64(key.data(), key.size(), 0) % DigestBucketCount;
}

void toggleItem(BucketDigests &digests, const std::string &key, std::uint64_t version)
{
    digests.at(bucketOf(key)) ^= XXH64(key.data(), key.size(), version + 1);
}

std::uint64_t combine(const BucketDigests &digests)
{
    return std::accumulate(digests.begin(), digests.end(), std::uint64_t{0}, std::bit_xor<>());
}

}
