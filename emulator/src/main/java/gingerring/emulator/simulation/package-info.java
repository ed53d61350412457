/**
 * Simulations of fleets of mixers in simulated time, without sockets or threads; the same seed
 * gives the same run. They run the decision code of many mixers and show its combined effect on the
 * boxes. A box is modelled as a queue with a number of cores. The command line and the tests run
 * the simulations; no real mixer takes part.
 */
package gingerring.emulator.simulation;
