/**
 * Which folio holds which provider keys, version by version, and what a scan that lives through
 * several versions may count. {@link gingerring.layout.Layout} is one version, {@link
 * gingerring.layout.LayoutLog} brings changes in whatever order they are heard into their own,
 * {@link gingerring.layout.LayoutVersions} keeps the old ones that scans still need, {@link
 * gingerring.layout.Ledger} is one scan's account by range of keys.
 *
 * <p>Called by whoever owns a loop; knows no input, output, clock or thread, and never chooses a
 * box.
 */
package gingerring.layout;
