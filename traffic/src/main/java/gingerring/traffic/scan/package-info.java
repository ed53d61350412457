/**
 * Scans out of streams: requests and their answers on the clients' side of a mixer, calls and their
 * returns on the searchers' side. Pure state over {@link gingerring.traffic.flow}; only {@link
 * gingerring.traffic.scan.Recording} opens a file. What is incomplete is marked so where bytes were
 * lost, and never guessed.
 */
package gingerring.traffic.scan;
