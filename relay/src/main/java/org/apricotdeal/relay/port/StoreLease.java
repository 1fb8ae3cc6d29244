package org.apricotdeal.relay.port;

/**
 * A lease that the store has granted. A store that is restored from an older copy may grant its id again, to another holder,
 * so a lease ends with the incarnation that granted it.
 *
 * @param id id of the lease
 * @param incarnation incarnation of the store that granted it, see {@link StoreRevision#incarnation}
 */
public record StoreLease(long id, long incarnation) {}
