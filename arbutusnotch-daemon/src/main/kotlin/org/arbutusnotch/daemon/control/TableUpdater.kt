/*
 * Updates the tables on each tick, in a fixed order, and applies events to them.
 */
package org.arbutusnotch.daemon.control

import org.arbutusnotch.core.configuration.CallerDirectory
import org.arbutusnotch.core.configuration.RevisionEvent
import org.arbutusnotch.core.id.BackendServerId
import org.arbutusnotch.core.id.InstanceId
import org.arbutusnotch.core.membership.DrainState
import org.arbutusnotch.core.membership.MembershipEvent
import org.arbutusnotch.core.membership.SlotOwnership
import org.arbutusnotch.core.message.InstanceState
import org.arbutusnotch.core.straggler.StragglerDecision
import org.arbutusnotch.core.time.Timestamp
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Time between two ticks while requests run or reservations are requested. */
internal val TICK_INTERVAL: Duration = 20.milliseconds

/** Time between two ticks of an idle instance; all deadlines of an idle instance are longer. */
internal val IDLE_TICK_INTERVAL: Duration = 100.milliseconds

/** Time without work after which an instance is idle; longer than the lifetime of a reservation. */
private val IDLE_THRESHOLD: Duration = 3_000.milliseconds

/** Gap between two ticks above which the process counts as paused. */
internal val TICK_GAP_LIMIT: Duration = 500.milliseconds

/** Time for which a starting instance listens to its peers before it may serve. */
private val STARTUP_LISTEN_TIME: Duration = 1_000.milliseconds

/** Updates the tables of [state]; [startedAt] is the time at which the instance began to listen to its peers. */
internal class TableUpdater(private val state: ControlState, private val startedAt: Timestamp) {
    private var knownInstances: Set<InstanceId> = emptySet()
    private var knownServers: Set<BackendServerId> = emptySet()

    /** Updates every table once and returns the changes. */
    fun tick(now: Timestamp): List<ControlEvent> {
        val events = mutableListOf<ControlEvent>()
        detectGap(now, events)
        state.permits.tick(now)
        state.quarantine.tick(now)
        events += state.instances.tick(now).flatMap { apply(it, now) }
        events += state.revisions.tick(now, state.reachablePeers()).flatMap { apply(it, now) }
        updateOwnership(now, events)
        updateExclusions(now, events)
        events += state.reservations.tick(now).map(ControlEvent::Reservation)
        updateState(now, events)
        return events
    }

    /** Applies [event] to the tables and returns the control events that follow from it. */
    fun apply(event: RevisionEvent, now: Timestamp): List<ControlEvent> {
        val events = mutableListOf<ControlEvent>(ControlEvent.Revision(event))
        when (event) {
            is RevisionEvent.Activated -> {
                val configuration = event.content.configuration
                state.directory = CallerDirectory(configuration)
                state.servers.configure(configuration)
                state.router.configure(configuration)
                events += state.reservations.configure(configuration, now).map(ControlEvent::Reservation)
                knownServers = emptySet()
            }

            is RevisionEvent.ReportChanged -> state.instances.updateOwnRow(
                active = event.report.active,
                candidate = event.report.candidate,
                conflicted = event.report.conflicted,
            )

            is RevisionEvent.Rejected,
            is RevisionEvent.StaleRevision,
            is RevisionEvent.Conflict,
            is RevisionEvent.FetchRequired,
            -> Unit
        }
        return events
    }

    /** Applies [event] to the tables; the reservations of a replaced process end. */
    fun apply(event: MembershipEvent, now: Timestamp): List<ControlEvent> {
        val events = mutableListOf<ControlEvent>(ControlEvent.Membership(event))
        when (event) {
            is MembershipEvent.Replaced ->
                events += state.reservations.removeHolder(event.previous, now).map(ControlEvent::Reservation)

            is MembershipEvent.Removed -> state.revisions.removePeer(event.instance.address)

            is MembershipEvent.BecameReachable,
            is MembershipEvent.BecameUnreachable,
            is MembershipEvent.OwnAddressTaken,
            is MembershipEvent.IncarnationRaised,
            -> Unit
        }
        return events
    }

    /** Returns the time until the next tick. */
    fun interval(now: Timestamp): Duration =
        if (now - state.lastWorkAt > IDLE_THRESHOLD) IDLE_TICK_INTERVAL else TICK_INTERVAL

    private fun detectGap(now: Timestamp, events: MutableList<ControlEvent>) {
        val gap = now - state.lastTickAt
        if (gap > TICK_GAP_LIMIT) events += ControlEvent.TickGap(gap)
        state.lastTickAt = now
    }

    private fun updateOwnership(now: Timestamp, events: MutableList<ControlEvent>) {
        val live = state.liveInstances()
        val servers = state.directory?.configuration?.servers?.map { it.address }.orEmpty().toSet()
        if (live.toSet() == knownInstances && servers == knownServers) return
        knownInstances = live.toSet()
        knownServers = servers
        val owned = servers.filter { SlotOwnership.ownerOf(it, live) == state.self }.toSet()
        events += state.reservations.setOwnedServers(owned, now).map(ControlEvent::Reservation)
    }

    private fun updateExclusions(now: Timestamp, events: MutableList<ControlEvent>) {
        state.servers.tick(now).forEach { decision ->
            events += ControlEvent.Straggler(decision)
            val excluded = decision is StragglerDecision.Excluded
            events += state.reservations.setExcluded(decision.server, excluded, now).map(ControlEvent::Reservation)
        }
    }

    private fun updateState(now: Timestamp, events: MutableList<ControlEvent>) {
        advanceDrain(now, events)
        val current = state.instances.ownRow.state
        val next = when {
            state.drain !is DrainState.Serving -> InstanceState.DRAINING
            current == InstanceState.SERVING -> InstanceState.SERVING
            mayServe(now) -> InstanceState.SERVING
            else -> InstanceState.STARTING
        }
        if (next == current) return
        state.instances.updateOwnRow(state = next)
        events += ControlEvent.StateChanged(next)
    }

    private fun mayServe(now: Timestamp): Boolean =
        now - startedAt >= STARTUP_LISTEN_TIME && state.revisions.mayServe(state.reachablePeers())

    private fun advanceDrain(now: Timestamp, events: MutableList<ControlEvent>) {
        val next = state.drain.advance(now, state.drainWork())
        if (next == state.drain) return
        state.drain = next
        events += ControlEvent.DrainChanged(next)
    }
}
