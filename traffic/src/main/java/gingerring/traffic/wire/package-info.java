/**
 * Sockets for tools and simulators: one thread, one selector, and a bounded buffer in each
 * direction of every connection. Listens on and connects to {@code 127.0.0.0/8} only.
 */
package gingerring.traffic.wire;
