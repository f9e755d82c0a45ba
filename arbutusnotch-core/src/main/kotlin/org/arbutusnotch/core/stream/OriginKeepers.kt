/*
 * Selects the instances that keep the origin of a stream, in case the instance that serves it is lost.
 *
 * Telling every instance would not scale. The keepers follow from the id of the stream, so that any instance finds them
 * again, and belong to different failure domains where possible, so that they are not lost together.
 */
package org.arbutusnotch.core.stream

import org.arbutusnotch.core.id.InstanceAddress
import org.arbutusnotch.core.id.RequestId
import org.arbutusnotch.core.membership.InstanceView
import org.arbutusnotch.core.membership.RendezvousHash

/** Selects the keepers of streams. */
public object OriginKeepers {
    /**
     * Returns up to [count] of [instances] for [stream], the best of each failure domain first. When an instance
     * leaves, those after it move up and the others stay.
     */
    public fun select(stream: RequestId, instances: List<InstanceView>, count: Int): List<InstanceAddress> =
        RendezvousHash.order(stream.value, instances) { it.address.value }
            .groupBy { it.row.failureDomain }.values
            .flatMap { domain -> domain.withIndex() }
            .sortedBy { it.index }
            .take(count)
            .map { it.value.address }
}
