/**
 * Recording: what a mixer's connections carried becomes packets of a capture file. {@link
 * gingerring.traffic.record.PacketSynthesizer} makes the packets and {@link
 * gingerring.traffic.record.Blanks} hides what is private, both pure; {@link
 * gingerring.traffic.record.Recorder} stands between a mixer's threads and the disk, and never
 * holds a mixer up: what finds its queue full is dropped, counted and marked in the file.
 */
package gingerring.traffic.record;
