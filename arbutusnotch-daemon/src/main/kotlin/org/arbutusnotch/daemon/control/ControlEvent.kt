/*
 * Changes that a tick or a message made, for the log, the counters and the adapters that act on them.
 */
package org.arbutusnotch.daemon.control

import org.arbutusnotch.core.configuration.RevisionEvent
import org.arbutusnotch.core.membership.DrainState
import org.arbutusnotch.core.membership.MembershipEvent
import org.arbutusnotch.core.message.InstanceState
import org.arbutusnotch.core.reservation.ReservationDecision
import org.arbutusnotch.core.straggler.StragglerDecision
import kotlin.time.Duration

/** Describes a change to the tables. */
internal sealed class ControlEvent {
    data class Membership(val event: MembershipEvent) : ControlEvent()

    data class Revision(val event: RevisionEvent) : ControlEvent()

    data class Straggler(val decision: StragglerDecision) : ControlEvent()

    data class Reservation(val decision: ReservationDecision) : ControlEvent()

    data class StateChanged(val state: InstanceState) : ControlEvent()

    data class DrainChanged(val state: DrainState) : ControlEvent()

    /** The process was paused or starved for [gap] between two ticks. */
    data class TickGap(val gap: Duration) : ControlEvent()
}
