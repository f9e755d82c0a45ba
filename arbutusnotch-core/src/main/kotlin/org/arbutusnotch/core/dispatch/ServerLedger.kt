/*
 * The places of one backend server that are in use, and what its answers say about its speed.
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
 * @property tokens memory that the place takes, or prompt tokens to read for [PlacePart.PREFILL]
 * @property outputTokens tokens that the request is expected to generate
 * @property readingUntil time until which the server probably reads the prompt itself; null when another one reads it
 * @property expiresAt time at which the place is free unless its holder reports it again
 */
internal class UsedPlace(
    val holder: InstanceId,
    val tokens: Int,
    val outputTokens: Int,
    val readingUntil: Timestamp?,
    val tokensAhead: Int,
    val grantedAt: Timestamp,
    var expiresAt: Timestamp,
)

internal class ServerLedger(var server: BackendServer) {
    val places = LinkedHashMap<PlaceKey, UsedPlace>()
    val health = ServerHealth()

    /** Time for one call, or for one prompt token, corrected by the slowdown that the server reported. */
    val speed = SpeedEstimate(SPEED_WEIGHT)
    private var slowdownPercent = USUAL_PERCENT
    private var slowdownUntil = Timestamp(0)

    val usedTokens: Int
        get() = places.entries.sumOf { if (it.key.part == PlacePart.RUN) it.value.tokens else 0 }

    val promptTokensAhead: Int
        get() = places.entries.sumOf { if (it.key.part == PlacePart.PREFILL) it.value.tokens else 0 }

    /** Returns the number of prompts that the server itself reads at [now] beside generating. */
    fun ownPrompts(now: Timestamp): Int = places.values.count { it.readingUntil != null && it.readingUntil > now }

    fun noteSlowdown(percent: Int, now: Timestamp) {
        if (percent <= 0) return
        slowdownPercent = percent
        slowdownUntil = now + SLOWDOWN_LIFETIME
    }

    /** Returns the factor by which work takes longer than usual at [now]. */
    fun slowdown(now: Timestamp): Double = if (now < slowdownUntil) slowdownPercent / USUAL_PERCENT.toDouble() else 1.0

    /** Returns the expected time of one unit of work at [now], or of [usual] where nothing was observed. */
    fun timePerUnit(usual: Duration, now: Timestamp): Duration = (speed.timePerUnit ?: usual) * slowdown(now)

    /** Time until which the server is expected to change its stage; it takes no work before its entry shows that. */
    var switchingUntil: Timestamp = Timestamp(0)

    /** Time until which the server gets no new runs, because it rejected one. */
    var fullUntil: Timestamp = Timestamp(0)

    private val pausedUntil = HashMap<InstanceAddress, Timestamp>()

    /** Records that the server wants no requests of [holder] before [until]. */
    fun pauseFor(holder: InstanceId, until: Timestamp) {
        pausedUntil.merge(holder.address, until, ::maxOf)
    }

    /** Returns the time from which the server wants requests of [holder]; null when it wants them at [now]. */
    fun pausedUntil(holder: InstanceId, now: Timestamp): Timestamp? {
        val until = pausedUntil[holder.address] ?: return null
        if (now < until) return until
        pausedUntil.remove(holder.address)
        return null
    }

    /** Time of the latest answer. */
    var answeredAt: Timestamp = Timestamp(0)

    /** Returns for how long the server has answered nothing although it has work; zero when it has none. */
    fun silence(now: Timestamp): Duration {
        val oldest = places.values.firstOrNull()?.grantedAt ?: return Duration.ZERO
        return now - maxOf(oldest, answeredAt)
    }

    private companion object {
        const val SPEED_WEIGHT = 0.25
        const val USUAL_PERCENT = 100

        /** Time for which a reported slowdown counts; it changes many times a second. */
        val SLOWDOWN_LIFETIME = 400.milliseconds
    }
}
