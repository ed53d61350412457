/**
 * What the other mixers say, and how much it weighs. A word says what its author saw, never what its reader
 * is to do; only its author changes it; it carries the author's life and number, and it ages ({@link
 * gingerring.peers.Words}). Each reader bounds what any few of them can move ({@link
 * gingerring.peers.Hearsay}). No I/O, thread or clock: a transport stands beside this package and is told
 * nothing of it. A mixer may call it through its host; it must never depend on one.
 */
package gingerring.peers;
