/**
 * Sockets for tools and stand-ins: one thread, one selector, a bounded buffer each way for every
 * connection. Only {@code 127.0.0.0/8} is listened at or called, unless a caller lifts that for a
 * replay.
 */
package gingerring.traffic.wire;
