/*
 * The dispatcher's view of one backend server: its places in use, health, speed, pauses and request limit.
 */
package org.arbutusnotch.core.dispatch

import org.arbutusnotch.core.forwarding.BackendServer
import org.arbutusnotch.core.id.InstanceAddress
import org.arbutusnotch.core.id.InstanceId
import org.arbutusnotch.core.id.TicketId
import org.arbutusnotch.core.message.PlacePart
import org.arbutusnotch.core.straggler.SpeedEstimate
import org.arbutusnotch.core.time.Timestamp
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

internal data class PlaceKey(val ticket: TicketId, val part: PlacePart)

/**
 * Describes a place in use.
 *
 * @property tokens memory that the place takes, or prompt tokens to process for [PlacePart.PREFILL]
 * @property expectedOutputTokens tokens that the request is expected to generate
 * @property directPrefillUntil time until which the server of the run is expected to prefill the prompt itself; null
 * when a prefill server does so
 * @property queuedPromptTokens prompt tokens that a prefill server already had to process
 * @property expiresAt time at which the place becomes free unless its holder reports it again
 */
internal class UsedPlace(
    val holder: InstanceId,
    val tokens: Int,
    val expectedOutputTokens: Int,
    val directPrefillUntil: Timestamp?,
    val queuedPromptTokens: Int,
    val grantedAt: Timestamp,
    var expiresAt: Timestamp,
)

/** Tracks [server]; its request limit is used up to [requestShare], and its places as [poolPace] allows, if present. */
internal class TrackedServer(server: BackendServer, requestShare: Double, private val poolPace: PoolPace? = null) {
    val pace = poolPace?.newServer() ?: ServerPace(joined = false)

    /** Number of reads of [server], which measures how often the dispatcher visits this server. */
    var reads = 0L
        private set

    var server: BackendServer = server
        get() {
            reads += 1
            return field
        }
    val places = LinkedHashMap<PlaceKey, UsedPlace>()
    val health = ServerHealth()
    val limit = RequestLimit(requestShare)

    /** Time per call, or per prompt token, without the slowdown that the server reported. */
    val speed = SpeedEstimate(SPEED_WEIGHT)

    /** Time per expected output token of its runs. */
    val outputTime = OutputTime()
    private var slowdownPercent = NORMAL_PERCENT
    private var slowdownUntil = Timestamp(0)

    val usedTokens: Int
        get() = places.entries.sumOf { if (it.key.part == PlacePart.RUN) it.value.tokens else 0 }

    val runs: Int
        get() = places.keys.count { it.part == PlacePart.RUN }

    val queuedPromptTokens: Int
        get() = places.entries.sumOf { if (it.key.part == PlacePart.PREFILL) it.value.tokens else 0 }

    /** Returns whether the pace of the server, which uses the share [usage] of its [slots] places, admits a request. */
    fun isWithinPace(slots: Int, usage: Double, now: Timestamp): Boolean =
        poolPace?.admits(this, slots, usage, now) ?: true

    /** Returns the number of prompts that the server prefills itself at [now], in addition to decoding. */
    fun directPrefills(now: Timestamp): Int =
        places.values.count { it.directPrefillUntil != null && it.directPrefillUntil > now }

    fun recordSlowdown(percent: Int, now: Timestamp) {
        if (percent <= 0) return
        slowdownPercent = percent
        slowdownUntil = now + SLOWDOWN_LIFETIME
    }

    /** Returns the factor by which work takes longer than normal at [now]. */
    fun slowdown(now: Timestamp): Double = if (now < slowdownUntil) slowdownPercent / NORMAL_PERCENT.toDouble() else 1.0

    /** Returns the expected time per unit of work at [now], based on [default] until a unit has been observed. */
    fun timePerUnit(default: Duration, now: Timestamp): Duration = (speed.timePerUnit ?: default) * slowdown(now)

    /** Time until which the server is expected to switch its stage; it gets no work until its entry shows that. */
    var stageSwitchUntil: Timestamp = Timestamp(0)

    /** Rejections of runs and prompts by an engine. */
    val rejections = RejectionBackoff()

    /** Time until which a server of plain calls gets no new ones, because it rejected one. */
    var fullUntil: Timestamp = Timestamp(0)

    private val pausedUntil = HashMap<InstanceAddress, Timestamp>()

    /** Whether the server may be paused for some instance. */
    val isPaused: Boolean
        get() = pausedUntil.isNotEmpty()

    /** Records that the server has asked for no requests of [holder] before [until]. */
    fun pauseFor(holder: InstanceId, until: Timestamp) {
        pausedUntil.merge(holder.address, until, ::maxOf)
    }

    /** Returns the end of the server's pause for [holder]; null when it is not paused at [now]. */
    fun pausedUntil(holder: InstanceId, now: Timestamp): Timestamp? {
        val until = pausedUntil[holder.address] ?: return null
        if (now < until) return until
        pausedUntil.remove(holder.address)
        return null
    }

    /** Whether a request of [holder] would be the only one that may show whether the server answers. */
    fun mayProbe(holder: InstanceAddress): Boolean = places.values.none {
        it.holder.address == holder || !(health.isPathDown(holder) || health.isPathDown(it.holder.address))
    }

    /** Time of the latest answer. */
    var lastAnswerAt: Timestamp = Timestamp(0)

    /** Returns the time for which the server has had work without answering; zero when it has no work. */
    fun silentFor(now: Timestamp): Duration {
        val oldest = places.values.firstOrNull()?.grantedAt ?: return Duration.ZERO
        return now - maxOf(oldest, lastAnswerAt)
    }

    private companion object {
        const val SPEED_WEIGHT = 0.25
        const val NORMAL_PERCENT = 100

        /** Time for which a reported slowdown is used; it changes many times a second. */
        val SLOWDOWN_LIFETIME = 400.milliseconds
    }
}
