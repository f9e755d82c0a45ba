/*
 * A snapshot of what an instance knows about another one.
 */
package org.arbutusnotch.core.membership

import org.arbutusnotch.core.id.InstanceAddress
import org.arbutusnotch.core.id.InstanceId
import org.arbutusnotch.core.message.InstanceRow
import org.arbutusnotch.core.message.InstanceState

/**
 * Describes an instance as it appears in the local view.
 *
 * @property reachable whether the heartbeat rose before its deadline; always true for the row of this instance
 * @property publishedLeaving whether the platform's published list marks the instance as leaving
 */
public data class InstanceView(
    public val row: InstanceRow,
    public val reachable: Boolean,
    public val publishedLeaving: Boolean = false,
) {
    /** Address and incarnation of the instance. */
    public val instance: InstanceId
        get() = row.instance

    /** Peer address of the instance. */
    public val address: InstanceAddress
        get() = row.instance.address

    /** Whether the instance may be listed as an entry point and selected as an issuer. */
    public val acceptsNewWork: Boolean
        get() = reachable && !publishedLeaving && row.state == InstanceState.SERVING
}
