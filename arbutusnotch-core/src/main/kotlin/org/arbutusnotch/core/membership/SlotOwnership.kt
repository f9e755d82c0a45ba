/*
 * Assignment of each backend server to the instance that manages its slots. Instances with different views may select
 * different owners; that reduces efficiency but not correctness.
 */
package org.arbutusnotch.core.membership

import org.arbutusnotch.core.id.BackendServerId
import org.arbutusnotch.core.id.InstanceId

/** Selects the slot owner of each backend server. */
public object SlotOwnership {
    /** Returns the owner of [server] among [live]; null when [live] is empty. A restart keeps the owner. */
    public fun ownerOf(server: BackendServerId, live: Collection<InstanceId>): InstanceId? =
        RendezvousHash.select(server.value, live) { it.address.value }
}
