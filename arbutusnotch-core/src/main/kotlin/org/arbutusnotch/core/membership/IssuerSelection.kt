/*
 * Selection of the instance that issues new idempotency tokens.
 */
package org.arbutusnotch.core.membership

import org.arbutusnotch.core.id.FailureDomainId
import kotlin.random.Random

/** Selects issuers outside the entry instance's failure domain, so that a single failure does not affect both. */
public object IssuerSelection {
    /**
     * Returns a random instance that accepts new work, preferably in a failure domain other than [ownDomain]; null when
     * there is none.
     */
    public fun select(ownDomain: FailureDomainId, instances: List<InstanceView>, random: Random): InstanceView? {
        val (sameDomain, otherDomains) =
            instances.filter { it.acceptsNewWork }.partition { it.row.failureDomain == ownDomain }
        return otherDomains.ifEmpty { sameDomain }.randomOrNull(random)
    }
}
