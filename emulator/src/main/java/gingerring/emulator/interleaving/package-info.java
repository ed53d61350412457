/**
 * Tests of pairs of events that happen at the same moment at one real mixer process, over sockets
 * and in either order. The second event is injected when the trigger point of the first one has
 * been observed. Violations are detected from what the sockets of the other parties receive. {@link
 * gingerring.emulator.interleaving.InterleavingRunner} is the main class.
 */
package gingerring.emulator.interleaving;
