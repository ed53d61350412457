/**
 * Capture files, read and written: pcap and pcapng, and the layers below TCP. It opens files and
 * nothing else; whatever cannot be read is counted by cause, and ends neither the program nor what
 * was read before it.
 */
package gingerring.traffic.pcap;
