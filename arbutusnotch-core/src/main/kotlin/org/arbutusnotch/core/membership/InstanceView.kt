/*
 * What one instance knows of another at a point in time.
 */
package org.arbutusnotch.core.membership

import org.arbutusnotch.core.id.InstanceAddress
import org.arbutusnotch.core.id.InstanceId
import org.arbutusnotch.core.message.InstanceRow
import org.arbutusnotch.core.message.InstanceState

/**
 * Describes an instance as the local view sees it.
 *
 * @property reachable whether the heartbeat rose recently; always true for the own row
 * @property publishedLeaving whether the platform's list says that the instance leaves
 */
public data class InstanceView(
    public val row: InstanceRow,
    public val reachable: Boolean,
    public val publishedLeaving: Boolean = false,
) {
    /** Address and incarnation. */
    public val instance: InstanceId
        get() = row.instance

    /** Peer address. */
    public val address: InstanceAddress
        get() = row.instance.address

    /** Whether callers and tokens may be directed to the instance. */
    public val acceptsNewWork: Boolean
        get() = reachable && !publishedLeaving && row.state == InstanceState.SERVING
}
