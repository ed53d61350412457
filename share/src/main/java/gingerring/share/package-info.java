/**
 * What each of many mixers chooses by itself so that the choices of all add up: which of a folio's
 * holders it prefers ({@link gingerring.share.SubsetSelector}), whose turn a thing is that one is
 * to do for all ({@link gingerring.share.TurnOrder}), and how much of a box's room is whose ({@link
 * gingerring.share.FairShares}). No I/O, thread or clock; the same inputs give the same choice at
 * every mixer. Anyone may call it, a decision module through its host among them; it knows nothing
 * of mixers' connections, and must never depend on one.
 */
package gingerring.share;
