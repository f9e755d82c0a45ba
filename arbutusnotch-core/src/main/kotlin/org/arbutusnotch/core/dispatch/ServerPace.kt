/*
 * Limits the places of a backend server that has just started or recovered, until its answers arrive at the speed of
 * its peers.
 *
 * The limit is a share of the server's places. It is judged in rounds: the answers to requests that were granted since
 * the share last changed. A round at the speed of the peers doubles the share; a server with all of its places is
 * established and no longer judged. A slow round keeps the share from growing, and lowers it to what fits the speed of
 * the server. Whether a server is slow for good or only warming up shows after a while: then the share may also grow to
 * what fits its speed.
 */
package org.arbutusnotch.core.dispatch

import org.arbutusnotch.core.id.BackendServerId
import org.arbutusnotch.core.id.InstanceAddress
import org.arbutusnotch.core.straggler.SpeedEstimate
import org.arbutusnotch.core.time.Timestamp
import kotlin.math.ceil
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Tells whether and why the places of a server are limited. */
public enum class PaceState {
    /** The dispatcher has not had enough answers of the server since it began to dispatch for the pool. */
    UNTESTED,

    /** The server has joined the pool or was restarted while the dispatcher had others to use. */
    STARTING,

    /** The server has had consecutive faults. */
    RECOVERING,

    /** The server answers much more slowly than its peers. */
    SLOW,

    /** The server gets as many requests as it has places for. */
    ESTABLISHED,
}

/** Tells that the pace of [server] has changed to [state], in which it gets up to [limit] requests at a time. */
public data class PaceChange(public val server: BackendServerId, public val state: PaceState, public val limit: Int)

/**
 * Tracks the pace of one server.
 *
 * @param joined whether the server has joined the pool, or was restarted, while the dispatcher dispatched for it
 */
internal class ServerPace(private val joined: Boolean) {
    var state = PaceState.UNTESTED
        private set

    /** Share of its places that the server gets, from more than 0 to 1. */
    var share = 1.0
        private set

    /** Number of places; 0 until the server is first considered for a request. */
    var slots = 0
        private set

    /** Time per unit of work, also of an established server, as a measure for its peers. */
    var speed = SpeedEstimate(SPEED_WEIGHT)
        private set

    /** Whether another dispatcher has granted places of this server. */
    var hasReportedPlaces = false

    /** Faults since the latest complete answer. */
    var consecutiveFaults = 0
        private set
    private var changedAt = Timestamp(0)
    private var round = Round()
    private var slowSince: Timestamp? = null

    /** Instances whose requests had the [consecutiveFaults]. */
    private val faultHolders = HashSet<InstanceAddress>()

    val isEstablished: Boolean
        get() = state == PaceState.ESTABLISHED

    /** Requests that the server gets at a time. */
    val limit: Int
        get() = ceil(share * slots).toInt()

    /** Sets the first share of a server with [placeCount] places. */
    fun begin(placeCount: Int, mostPeersEstablished: Boolean) {
        slots = maxOf(1, placeCount)
        val isSlowStart = joined && mostPeersEstablished
        if (isSlowStart) state = PaceState.STARTING
        changeShare(if (isSlowStart) FIRST_SHARE else UNTESTED_SHARE, changedAt)
    }

    /** Discards the speed of the server, whose work is of another kind from now on. */
    fun changeStage() {
        speed = SpeedEstimate(SPEED_WEIGHT)
    }

    /** Gives the server all of its places. */
    fun establish(now: Timestamp) = changeShare(1.0, now)

    /**
     * Records a complete answer to a request that was granted at [grantedAt].
     *
     * @param relativeTime time per unit of work relative to the median of the peers; null when one of them is unknown
     * @param heldOthers whether the server had other requests at the same time
     */
    fun recordAnswer(relativeTime: Double?, heldOthers: Boolean, grantedAt: Timestamp, now: Timestamp) {
        consecutiveFaults = 0
        faultHolders.clear()
        if (isEstablished || grantedAt < changedAt) return
        round.add(relativeTime ?: 1.0, heldOthers)
        if (round.answers < answersPerRound()) return
        if (round.relativeTime <= SLOW_FACTOR) {
            slowSince = null
            changeShare(share * GROWTH, now)
        } else {
            recordSlowRound(now)
        }
    }

    private fun recordSlowRound(now: Timestamp) {
        state = PaceState.SLOW
        val since = slowSince ?: now.also { slowSince = it }
        val fitting = SLOW_FACTOR / round.relativeTime
        when {
            fitting < share && round.heldOthers -> {
                slowSince = now
                changeShare(maxOf(fitting, share / GROWTH), now)
            }

            fitting > share && now - since >= WARM_UP_TIME -> changeShare(minOf(fitting, share * GROWTH), now)

            else -> round = Round()
        }
    }

    /** A single fast answer of a slow server may be due to chance. */
    private fun answersPerRound(): Int = if (state == PaceState.SLOW) maxOf(ROUND_ANSWERS, limit) else ROUND_ANSWERS

    /** Records that the server did not run a request that was granted at [grantedAt]. */
    fun recordRejection(grantedAt: Timestamp, now: Timestamp) {
        if (!isEstablished && grantedAt >= changedAt) changeShare(share / GROWTH, now)
    }

    /**
     * Records that a request of [holder] failed at the server or got no answer. Faults lower the share only when two
     * instances have had them and [peersAnswer]; otherwise a network path or the requests are the likelier cause.
     */
    fun recordFault(holder: InstanceAddress, peersAnswer: Boolean, grantedAt: Timestamp, now: Timestamp) {
        consecutiveFaults += 1
        faultHolders += holder
        round = Round()
        val isServerAtFault = peersAnswer && faultHolders.size >= AGREEING_INSTANCES
        if (!isServerAtFault || slots == 0 || grantedAt < changedAt) return
        if (!isEstablished) {
            changeShare(share / GROWTH, now)
        } else if (consecutiveFaults >= FAULTS_BEFORE_RECOVERY) {
            state = PaceState.RECOVERING
            changeShare(FIRST_SHARE, now)
        }
    }

    private fun changeShare(newShare: Double, now: Timestamp) {
        share = newShare.coerceIn(1.0 / slots, 1.0)
        changedAt = now
        round = Round()
        if (share >= 1.0) {
            state = PaceState.ESTABLISHED
            slowSince = null
        }
    }

    /** Sums up the answers to requests that were granted since the share last changed. */
    private class Round {
        private var total = 0.0
        var answers = 0
            private set
        var heldOthers = false
            private set
        val relativeTime: Double
            get() = total / answers

        fun add(relativeTime: Double, withOthers: Boolean) {
            total += relativeTime
            answers += 1
            heldOthers = heldOthers || withOthers
        }
    }

    internal companion object {
        /** Share with which a server starts while most of its peers are established. */
        const val FIRST_SHARE = 0.125

        /** Share with which a server starts whose state is unknown; the whole pool may be in this state. */
        const val UNTESTED_SHARE = 0.5
        const val GROWTH = 2.0

        /** Answers in a round. Machines of one pool differ in speed, so one answer says little. */
        const val ROUND_ANSWERS = 2

        /** Time relative to the peers above which answers are slow; ordinary machines differ by up to 2.2 times. */
        const val SLOW_FACTOR = 2.5

        /** Time after which slowness is taken for the speed of the server rather than for a cold start. */
        val WARM_UP_TIME: Duration = 10.seconds

        /** Consecutive faults after which an established server has to recover; fewer happen by chance. */
        const val FAULTS_BEFORE_RECOVERY = 3

        /** Instances that must have had faults of a server before they count against it. */
        const val AGREEING_INSTANCES = 2
        private const val SPEED_WEIGHT = 0.25
    }
}
