/**
 * Many mixers' decision cores in simulated time: no sockets, no threads, one seed, the same run
 * each time. It shows what single right choices add up to; a box here is a line with so many
 * servers and nothing more. Called by the command line and by tests; meets no real mixer.
 */
package gingerring.emulator.simulation;
