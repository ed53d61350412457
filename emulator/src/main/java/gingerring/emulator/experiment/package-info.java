/**
 * The emulator on sockets of 127.0.0.1: a store of boxes with its discovery, clients, a mixer as a
 * child, the baseline, and experiments that put them together and keep tables and charts. All
 * figures that come from here are of emulated boxes.
 */
package gingerring.emulator.experiment;
