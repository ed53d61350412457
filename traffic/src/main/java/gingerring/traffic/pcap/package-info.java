/**
 * Reads and writes capture files (pcap and pcapng) and decodes the layers below TCP. The package
 * opens capture files and no other resource. Input that cannot be read is counted by cause; it
 * neither stops the program nor discards data read earlier.
 */
package gingerring.traffic.pcap;
