#pragma once

#include "policyreport.h"

#include <string>
#include <vector>

/** Tables and a plot of many runs of the policy bench. */
namespace Plantainweir {

/** One finished run, without its calls. */
struct TableRow {
    RunSettings settings;
    Policy policy = Policy::Product;
    RunSummary summary;
};

/** Runs every policy through every scenario of the deployment. */
std::vector<TableRow> runAll(Deployment deployment, std::uint64_t seed, std::size_t calls);

/** Returns a Markdown table with one line for each scenario and policy. */
std::string toMarkdown(const std::vector<TableRow> &rows);

/** Returns comma-separated values with one line for each scenario, policy and rank, which counts each reason of refused and unknown calls. */
std::string toCsv(const std::vector<TableRow> &rows);

/** Returns an SVG plot of the lookups' p99 and of the delivered worth by scenario and policy. */
std::string toSvg(const std::vector<TableRow> &rows);

}
