/**
 * TCP streams out of segments: which flow a segment belongs to, in what order its bytes stand, what
 * was lost. Pure state: no file, no clock (time is that of the capture), every bound stated in
 * {@link ReassemblyLimits}. May be called by whoever has segments; must never hold a reference to a
 * segment's bytes beyond the call.
 */
package gingerring.traffic.flow;
