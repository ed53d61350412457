/**
 * The state of an emulated store without I/O: the scenario, the boxes, the outcome of each part,
 * the clients' workload and the checker of the six rules. There are no sockets, threads or clocks:
 * the caller supplies the time and the timers. The same scenario gives the same outcomes at any
 * speed.
 */
package gingerring.emulator.core;
