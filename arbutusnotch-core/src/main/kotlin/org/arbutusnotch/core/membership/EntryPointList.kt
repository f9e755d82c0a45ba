/*
 * The entry addresses that a caller is told to use.
 */
package org.arbutusnotch.core.membership

import org.arbutusnotch.core.id.FailureDomainId
import org.arbutusnotch.core.time.Timestamp
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Lists entry addresses in the order in which a caller tries them.
 *
 * @property validUntil time from which the caller must ask for a new list
 */
public data class EntryPointList(public val addresses: List<String>, public val validUntil: Timestamp) {
    /** Creates lists. */
    public companion object {
        /** Time for which a list is valid. */
        public val VALIDITY: Duration = 5.seconds

        /** Number of addresses in a list. */
        public const val MAXIMUM_ADDRESSES: Int = 6

        /**
         * Creates the list for [caller]: instances of [ownDomain] first, then of other domains, each ordered by
         * rendezvous hash of the caller. Half of the list is kept for other domains, so that a caller still has an
         * address when the whole own domain fails.
         */
        public fun create(
            caller: String,
            ownDomain: FailureDomainId,
            instances: List<InstanceView>,
            now: Timestamp,
        ): EntryPointList {
            val ordered = RendezvousHash.order(caller, instances.filter { it.acceptsNewWork }) { it.address.value }
            val (near, far) = ordered.partition { it.row.failureDomain == ownDomain }
            val farShare = minOf(far.size, MAXIMUM_ADDRESSES / 2)
            val selected = near.take(MAXIMUM_ADDRESSES - farShare)
            val addresses = (selected + far).take(MAXIMUM_ADDRESSES).map { it.row.entryAddress }
            return EntryPointList(addresses, now + VALIDITY)
        }
    }
}
