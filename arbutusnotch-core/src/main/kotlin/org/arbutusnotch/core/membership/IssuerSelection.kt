/*
 * Which instance becomes the issuer of new idempotency tokens.
 */
package org.arbutusnotch.core.membership

import org.arbutusnotch.core.id.FailureDomainId
import kotlin.random.Random

/** Selects issuers outside the failure domain of the entry, so that a single failure does not affect both. */
public object IssuerSelection {
    /**
     * Returns a random instance that accepts new work in a failure domain other than [ownDomain], otherwise one in
     * [ownDomain], otherwise null.
     */
    public fun select(ownDomain: FailureDomainId, instances: List<InstanceView>, random: Random): InstanceView? {
        val (near, far) = instances.filter { it.acceptsNewWork }.partition { it.row.failureDomain == ownDomain }
        return far.ifEmpty { near }.randomOrNull(random)
    }
}
