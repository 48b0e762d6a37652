#pragma once

/** The subcommands of plantainweir-bench; each parses its own arguments, of which the first is the subcommand's name. */
namespace Plantainweir {

/** Measures the cost of the controllers by the size of the fleet. @return the exit status of the program. */
int runControl(int argc, char **argv);

/** Measures the time of one decision by the size of a service and of its queue. @return the exit status of the program. */
int runDecide(int argc, char **argv);

/** Measures the request path, direct calls beside proxied calls. @return the exit status of the program. */
int runPath(int argc, char **argv);

/** Measures the decisions under load and faults in virtual time. @return the exit status of the program. */
int runPolicy(int argc, char **argv);

/** Runs all policies through all scenarios and writes tables and a plot. @return the exit status of the program. */
int runPolicies(int argc, char **argv);

}
