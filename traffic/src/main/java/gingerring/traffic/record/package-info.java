/**
 * Records the traffic of a mixer's connections as packets of a capture file. {@link
 * gingerring.traffic.record.PacketSynthesizer} produces the packets and {@link
 * gingerring.traffic.record.Pseudonymizer} replaces private texts; both are pure. {@link
 * gingerring.traffic.record.Recorder} queues events between a mixer's threads and the disk and
 * never blocks a mixer: events that find the queue full are dropped, counted and recorded as
 * dropped in the file.
 */
package gingerring.traffic.record;
