/**
 * Extracts scans from TCP streams: requests and responses between clients and a mixer, calls and
 * returns between a mixer and searchers. Pure state over {@link gingerring.traffic.flow}; only
 * {@link gingerring.traffic.scan.RecordingReader} opens a file. A scan whose bytes were lost is
 * marked incomplete; lost content is never guessed.
 */
package gingerring.traffic.scan;
