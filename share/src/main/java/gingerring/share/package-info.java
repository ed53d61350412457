/**
 * Choices that each mixer makes by itself so that the choices of all mixers add up: the preferred
 * holders of each partition ({@link gingerring.share.SubsetSelector}), turns at tasks that one
 * mixer performs on behalf of all ({@link gingerring.share.TurnOrder}), and the division of a box's
 * capacity ({@link gingerring.share.FairShares}). The package does no I/O, starts no thread and
 * reads no clock; the same inputs give the same choice at every mixer. Any module may call it, a
 * decision module through its host among them; it knows nothing of mixers' connections, and must
 * never depend on a mixer.
 */
package gingerring.share;
