/*
 * Which instance owns the slots of a backend server. Two instances with different views may name different owners; that
 * costs efficiency only.
 */
package org.arbutusnotch.core.membership

import org.arbutusnotch.core.id.BackendServerId
import org.arbutusnotch.core.id.InstanceId

/** Selects the slot owner of each backend server. */
public object SlotOwnership {
    /** Returns the owner of [server] among [live]; null when [live] is empty. A restart keeps the ownership. */
    public fun ownerOf(server: BackendServerId, live: Collection<InstanceId>): InstanceId? =
        RendezvousHash.select(server.value, live) { it.address.value }
}
