/*
 * The log lines of control events, one for each event.
 */
package org.arbutusnotch.daemon

import org.arbutusnotch.core.configuration.RevisionEvent
import org.arbutusnotch.core.membership.DrainState
import org.arbutusnotch.core.membership.MembershipEvent
import org.arbutusnotch.core.straggler.StragglerDecision
import org.arbutusnotch.daemon.control.ControlEvent
import org.arbutusnotch.telemetry.EventLog

/** Writes [event] to [log]; decisions about individual reservations are not logged. */
internal fun logEvent(log: EventLog, event: ControlEvent) {
    when (event) {
        is ControlEvent.Membership -> logMembership(log, event.event)
        is ControlEvent.Revision -> logRevision(log, event.event)
        is ControlEvent.Straggler -> logStraggler(log, event.decision)
        is ControlEvent.StateChanged -> log.info("state_changed") { field("state", event.state.name.lowercase()) }
        is ControlEvent.DrainChanged -> logDrain(log, event.state)
        is ControlEvent.TickGap -> log.warn("tick_gap") { field("millis", event.gap.inWholeMilliseconds) }
        is ControlEvent.Reservation -> Unit
    }
}

private fun logMembership(log: EventLog, event: MembershipEvent) = when (event) {
    is MembershipEvent.BecameReachable -> log.info("peer_reachable") { field("instance", event.instance) }

    is MembershipEvent.BecameUnreachable -> log.warn("peer_unreachable") { field("instance", event.instance) }

    is MembershipEvent.Replaced -> log.info("peer_replaced") {
        field("previous", event.previous)
        field("current", event.current)
    }

    is MembershipEvent.Removed -> log.info("peer_removed") { field("instance", event.instance) }

    is MembershipEvent.OwnAddressTaken -> log.error("own_address_taken") { field("current", event.current) }

    is MembershipEvent.IncarnationRaised -> log.warn("incarnation_raised") {
        field("previous", event.previous)
        field("current", event.current)
    }
}

private fun logRevision(log: EventLog, event: RevisionEvent) = when (event) {
    is RevisionEvent.Activated -> log.info("revision_active") { field("revision", event.content.mark.revision) }

    is RevisionEvent.Rejected -> log.warn("revision_invalid") {
        field("digest", event.digest)
        field("errors", event.errors.messages.size)
        field("first_error", event.errors.messages.firstOrNull())
    }

    is RevisionEvent.StaleRevision -> log.warn("revision_older") {
        field("revision", event.mark.revision)
        field("active", event.active)
    }

    is RevisionEvent.Conflict -> log.warn("revision_conflict") {
        field("revision", event.mark.revision)
        field("digest", event.mark.digest)
        field("other", event.other)
    }

    is RevisionEvent.FetchRequired -> log.debug("revision_fetch") {
        field("peer", event.peer)
        field("revision", event.mark.revision)
    }

    is RevisionEvent.ReportChanged -> log.debug("revision_marks") {
        field("active", event.report.active?.revision)
        field("candidate", event.report.candidate?.revision)
    }
}

private fun logStraggler(log: EventLog, decision: StragglerDecision) = when (decision) {
    is StragglerDecision.Excluded -> log.info("server_excluded") {
        field("server", decision.server)
        field("per_unit_micros", decision.timePerUnit.inWholeMicroseconds)
        field("median_micros", decision.poolMedian.inWholeMicroseconds)
    }

    is StragglerDecision.Returned -> log.info("server_returned") {
        field("server", decision.server)
        field("reason", decision.reason.name.lowercase())
    }
}

private fun logDrain(log: EventLog, state: DrainState) = when (state) {
    is DrainState.Done -> log.info("drain_done") {
        field("interrupted_requests", state.interruptedRequests)
        field("interrupted_tokens", state.interruptedTokens)
    }

    is DrainState.Serving,
    is DrainState.LeavingLists,
    is DrainState.FinishingRequests,
    is DrainState.WaitingForTokens,
    -> log.info("drain_progress") { field("state", state::class.simpleName) }
}
