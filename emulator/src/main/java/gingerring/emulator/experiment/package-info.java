/**
 * The emulator on sockets of 127.0.0.1: a store of emulated boxes with its discovery service,
 * clients, a mixer as a child process, a random router as the baseline, and experiments that
 * combine them and write tables and charts. All figures of this package are of emulated boxes.
 */
package gingerring.emulator.experiment;
