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

        /** Number of near instances that are enough for a list without far ones. */
        public const val ENOUGH_NEAR: Int = 3

        /** Largest list for callers that select an address at random. */
        public const val MAXIMUM_NEAREST: Int = 64

        /**
         * Returns the entry addresses for callers in [domain] that select one at random: the instances of the domain,
         * and those of other domains only while the domain has fewer than [ENOUGH_NEAR]. Bytes between failure domains
         * are paid for.
         */
        public fun nearest(domain: FailureDomainId, instances: List<InstanceView>): List<String> {
            val (near, far) = instances.filter { it.acceptsNewWork }.partition { it.row.failureDomain == domain }
            val missing = (ENOUGH_NEAR - near.size).coerceAtLeast(0)
            val ordered = RendezvousHash.order(domain.value, far, { it.address.value })
            return (near + ordered.take(missing)).take(MAXIMUM_NEAREST).map { it.row.entryAddress }
        }
    }
}
