/**
 * Crossings of two events at one mixer over real sockets: the second is released by a point that
 * was seen in the first, in either order, and the rules are judged from outside.
 */
package gingerring.emulator.interleaving;
