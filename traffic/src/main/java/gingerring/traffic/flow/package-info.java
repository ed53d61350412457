/**
 * Reassembles TCP streams from segments: assigns each segment to a flow, orders its bytes and
 * reports missing ones. The package is pure state: no files, no clock (time is capture time), and
 * every resource limit is stated in {@link ReassemblyLimits}. Any source of segments may call the
 * package; it never keeps a reference to a segment's bytes beyond the call.
 */
package gingerring.traffic.flow;
