/**
 * A stand-in store as plain state: its description, its boxes, what each part's fate is, what
 * clients ask, and the referee of the six rules. No socket, no thread, no clock: time and wakes
 * come from a host. The same description gives the same fates whatever the pace.
 */
package gingerring.emulator.core;
