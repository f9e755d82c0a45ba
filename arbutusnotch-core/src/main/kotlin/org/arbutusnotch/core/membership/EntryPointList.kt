/*
 * The entry addresses that callers receive.
 */
package org.arbutusnotch.core.membership

import org.arbutusnotch.core.id.FailureDomainId
import org.arbutusnotch.core.time.Timestamp
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Lists entry addresses in the order in which a caller tries them.
 *
 * @property validUntil time from which the caller must fetch a new list
 */
public data class EntryPointList(public val addresses: List<String>, public val validUntil: Timestamp) {
    /** Creates lists. */
    public companion object {
        /** Time for which a list is valid. */
        public val VALIDITY: Duration = 5.seconds

        /** Maximum number of addresses in a list. */
        public const val MAXIMUM_ADDRESSES: Int = 6

        /**
         * Creates the list for [caller]: instances in [ownDomain] first, then instances in other failure domains, each
         * group ordered by rendezvous hash of the caller. Up to half of the list is reserved for other domains, so
         * that the caller still has a working address when all of [ownDomain] fails.
         */
        public fun create(
            caller: String,
            ownDomain: FailureDomainId,
            instances: List<InstanceView>,
            now: Timestamp,
        ): EntryPointList {
            val ordered = RendezvousHash.order(caller, instances.filter { it.acceptsNewWork }) { it.address.value }
            val (sameDomain, otherDomains) = ordered.partition { it.row.failureDomain == ownDomain }
            val reservedForOthers = minOf(otherDomains.size, MAXIMUM_ADDRESSES / 2)
            val selected = sameDomain.take(MAXIMUM_ADDRESSES - reservedForOthers)
            val addresses = (selected + otherDomains).take(MAXIMUM_ADDRESSES).map { it.row.entryAddress }
            return EntryPointList(addresses, now + VALIDITY)
        }

        /** Number of instances in the caller's failure domain below which other domains fill up the list. */
        public const val MINIMUM_SAME_DOMAIN_ADDRESSES: Int = 3

        /** Maximum number of addresses in a list for callers that select one at random. */
        public const val MAXIMUM_NEAREST_ADDRESSES: Int = 64

        /**
         * Returns the entry addresses for callers in [domain] that select one at random: the instances in the domain,
         * filled up from other domains while it has fewer than [MINIMUM_SAME_DOMAIN_ADDRESSES]. Other domains come last
         * because traffic between failure domains is billed.
         */
        public fun nearest(domain: FailureDomainId, instances: List<InstanceView>): List<String> {
            val (sameDomain, otherDomains) =
                instances.filter { it.acceptsNewWork }.partition { it.row.failureDomain == domain }
            val missing = (MINIMUM_SAME_DOMAIN_ADDRESSES - sameDomain.size).coerceAtLeast(0)
            val ordered = RendezvousHash.order(domain.value, otherDomains, { it.address.value })
            return (sameDomain + ordered.take(missing)).take(MAXIMUM_NEAREST_ADDRESSES).map { it.row.entryAddress }
        }
    }
}
