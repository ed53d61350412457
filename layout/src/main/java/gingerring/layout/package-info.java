/**
 * The layout of provider keys over partitions, in versions, and the accounting of scans that run
 * across several versions.
 *
 * <p>{@link gingerring.layout.Layout} is one version. {@link gingerring.layout.LayoutSequencer}
 * applies changes in version order, in whatever order they arrive. {@link
 * gingerring.layout.LayoutVersions} retains the old versions that scans still need. {@link
 * gingerring.layout.ScanCoverage} tracks which key ranges of a scan have been requested and
 * received. {@link gingerring.layout.RetryGuard} limits the trips per key, and {@link
 * gingerring.layout.DisownedRanges} records which boxes have said that they no longer hold some
 * keys.
 *
 * <p>The package does no I/O, uses no clock and no thread, and never chooses a box. It is not
 * thread-safe: an event loop calls it.
 */
package gingerring.layout;
