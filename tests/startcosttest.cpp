#include "observability/metrics.h"
#include "tasks/exchangeclient.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

#include <link.h>

/** Checks the processor time in which a program starts. */
namespace Plantainweir {
namespace {

std::vector<std::string> loadedLibraries()
{
    std::vector<std::string> names;
    ::dl_iterate_phdr(
        [](dl_phdr_info *info, std::size_t, void *list) {
            static_cast<std::vector<std::string> *>(list)->emplace_back(info->dlpi_name);
            return 0;
        },
        &names);
    return names;
}

TEST(StartCost, NoSharedLibraryOfRpcIsRelocatedAtTheStart)
{
    Metrics metrics;
    const ExchangeClient client(metrics); // Uses RPC, so that this program is linked like those that serve.
    const std::vector<std::string> libraries = loadedLibraries();
    ASSERT_FALSE(libraries.empty());
    for (const std::string &library : libraries) {
        for (const char *part : {"libgrpc", "libprotobuf", "libabsl"}) {
            EXPECT_EQ(library.find(part), std::string::npos) << library;
        }
    }
}

}
}
