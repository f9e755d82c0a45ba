/*
 * Compares the answers of the servers of a pool, and derives from them how many places each may use.
 */
package org.arbutusnotch.core.dispatch

import org.arbutusnotch.core.id.BackendServerId
import org.arbutusnotch.core.message.DispatchRelease
import org.arbutusnotch.core.message.PlaceOutcome
import org.arbutusnotch.core.message.PlacePart
import org.arbutusnotch.core.message.ReservationKind
import org.arbutusnotch.core.straggler.WorkUnits
import org.arbutusnotch.core.time.Timestamp
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Limits servers of a pool that have just started or recovered; the peers of a server are those of its stage. */
internal class PoolPace(private val trackedServers: Map<BackendServerId, TrackedServer>) {
    private val changes = mutableListOf<PaceChange>()

    /** Number of servers that get only a part of their places. */
    val limitedServers: Int
        get() = trackedServers.values.count { server -> server.pace.let { it.slots > 0 && !it.isEstablished } }

    /** Returns the changes of state since the previous call. */
    fun takeChanges(): List<PaceChange> = changes.toList().also { changes.clear() }

    /** Returns the pace of a server that is new to the dispatcher. */
    fun newServer(): ServerPace = ServerPace(joined = trackedServers.values.any { it.pace.slots > 0 })

    /** Returns whether [tracked], which uses the share [usage] of its [slots] places, may take another request. */
    fun admits(tracked: TrackedServer, slots: Int, usage: Double, now: Timestamp): Boolean {
        val pace = tracked.pace
        if (pace.isEstablished) return true
        if (pace.slots == 0) update(tracked) { begin(slots, mostPeers(tracked) { it.pace.isEstablished }) }
        // Only another dispatcher can have granted this many, and it knew more of the server than this one.
        val wasEstablished = pace.state == PaceState.UNTESTED && pace.hasReportedPlaces
        if (wasEstablished && usage >= ServerPace.UNTESTED_SHARE) update(tracked) { establish(now) }
        return pace.isEstablished || tracked.places.isEmpty() || usage < pace.share || isLast(tracked)
    }

    /** Records how the use of [place] of [tracked] has ended. */
    fun record(tracked: TrackedServer, release: DispatchRelease, place: UsedPlace, now: Timestamp) {
        when (release.outcome) {
            PlaceOutcome.COMPLETED -> recordAnswer(tracked, release, place, now)

            PlaceOutcome.NOT_RUN -> update(tracked) { recordRejection(place.grantedAt, now) }

            PlaceOutcome.SERVER_FAILED, PlaceOutcome.UNREACHABLE, PlaceOutcome.BROKEN, PlaceOutcome.SILENT ->
                update(tracked) {
                    val peersAnswer = mostPeers(tracked) { it.pace.consecutiveFaults == 0 }
                    recordFault(place.holder.address, peersAnswer, place.grantedAt, now)
                }

            PlaceOutcome.UNUSED -> Unit
        }
    }

    private fun recordAnswer(tracked: TrackedServer, release: DispatchRelease, place: UsedPlace, now: Timestamp) {
        val units = unitsOf(place, release.part)
        val elapsed = elapsedWork(release, place) / tracked.slowdown(now)
        if (units > 0.0) tracked.pace.speed.observe(units, elapsed, count = 1, now = now)
        val median = if (tracked.pace.isEstablished || units <= 0.0) null else medianTimePerUnit(tracked)
        val relativeTime = median?.takeIf { it > Duration.ZERO }?.let { elapsed / units / it }
        update(tracked) { recordAnswer(relativeTime, heldOthers = tracked.places.isNotEmpty(), place.grantedAt, now) }
    }

    /** Returns the time of [release] without the prefill that the server of a run did itself. */
    private fun elapsedWork(release: DispatchRelease, place: UsedPlace): Duration {
        val prefill = place.directPrefillUntil?.let { it - place.grantedAt } ?: Duration.ZERO
        return (release.elapsedMillis.milliseconds - prefill).coerceAtLeast(Duration.ZERO)
    }

    /** Returns the work of [place]; 0 for a run that another dispatcher granted, whose output is not known. */
    private fun unitsOf(place: UsedPlace, part: PlacePart): Double = when {
        part == PlacePart.PREFILL -> WorkUnits.of(ReservationKind.PREFILL, place.queuedPromptTokens + place.tokens)

        place.expectedOutputTokens > 0 ->
            WorkUnits.of(ReservationKind.DECODE, place.expectedOutputTokens + RUN_OVERHEAD_TOKENS)

        place.tokens > 0 -> 0.0

        else -> WorkUnits.of(ReservationKind.SERVICE, 1)
    }

    private fun peers(tracked: TrackedServer): List<TrackedServer> =
        trackedServers.values.filter { it !== tracked && it.server.stage == tracked.server.stage }

    private fun medianTimePerUnit(tracked: TrackedServer): Duration? {
        val known = peers(tracked).mapNotNull { it.pace.speed.timePerUnit }.sorted()
        return known.getOrNull((known.size - 1) / 2)
    }

    /** Returns whether [holds] for more than half of the peers of [tracked]. */
    private fun mostPeers(tracked: TrackedServer, holds: (TrackedServer) -> Boolean): Boolean {
        val peers = peers(tracked)
        return peers.count(holds) * 2 > peers.size
    }

    private fun isLast(tracked: TrackedServer): Boolean = trackedServers.values.none {
        it !== tracked && it.server.stage == tracked.server.stage && it.health.isReachable
    }

    private fun update(tracked: TrackedServer, change: ServerPace.() -> Unit) {
        val pace = tracked.pace
        val before = pace.state
        pace.change()
        if (pace.state != before) changes += PaceChange(tracked.server.id, pace.state, pace.limit)
    }

    private companion object {
        /** Fixed cost of a run, in output tokens; otherwise a server would look slow with short outputs. */
        const val RUN_OVERHEAD_TOKENS = 10
    }
}
