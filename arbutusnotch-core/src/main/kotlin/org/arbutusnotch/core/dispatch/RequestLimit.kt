/*
 * Spaces the requests to a server that takes only a limited rate of requests from all instances together.
 *
 * A credit of requests grows at the limited rate, and each request uses one. A new limit starts without credit: the
 * server has just had more than it wanted, and another dispatcher may have used the limit until now.
 */
package org.arbutusnotch.core.dispatch

import org.arbutusnotch.core.time.Timestamp
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Limits the requests to one server; [share] is the fraction of the limit, from 0 to 1, that may be granted here. */
internal class RequestLimit(private var share: Double = 1.0) {
    private var named: Double? = null
    private var observedAt: Timestamp? = null
    private var credit = 0.0
    private var creditAt = Timestamp(0)

    /** Requests per second that this dispatcher may grant; null when the server has no limit. */
    val perSecond: Double?
        get() = named?.let { maxOf(it, MINIMUM_PER_SECOND) * share }

    /** Records what an answer that arrived at [answeredAt] named; ignored when a later answer is known. */
    fun observe(namedPerSecond: Double?, answeredAt: Timestamp, now: Timestamp) {
        val known = observedAt
        if (known != null && answeredAt < known) return
        observedAt = answeredAt
        growCredit(now)
        if (named == null) credit = 0.0
        named = namedPerSecond
    }

    /** Limits this dispatcher to [newShare] of the limit, from 0 to 1; other dispatchers grant the rest. */
    fun useShare(newShare: Double, now: Timestamp) {
        growCredit(now)
        share = newShare
    }

    /** Uses credit for one request. */
    fun recordRequest(now: Timestamp) {
        growCredit(now)
        credit -= 1.0
    }

    /** Returns the number of requests that may be granted at [now]; it may have a fractional part. */
    fun credit(now: Timestamp): Double {
        growCredit(now)
        return credit
    }

    /** Returns the time until the next request may be granted; zero when the server has no limit. */
    fun waitingTime(now: Timestamp): Duration {
        val rate = perSecond ?: return Duration.ZERO
        return ((1.0 - credit(now)) / rate).seconds.coerceAtLeast(Duration.ZERO)
    }

    fun admits(now: Timestamp): Boolean = waitingTime(now) < SMALLEST_WAIT

    /** Returns the lower of the limit and [capacity], both in requests per second. */
    fun restrict(capacity: Double): Double = minOf(capacity, perSecond ?: capacity)

    private fun growCredit(now: Timestamp) {
        val rate = perSecond ?: 0.0
        val maximum = maxOf(SMALLEST_CREDIT_LIMIT, rate * (CREDIT_TIME / 1.seconds))
        credit = minOf(maximum, credit + rate * ((now - creditAt) / 1.seconds))
        creditAt = now
    }

    private companion object {
        /** Rate used for lower limits, even zero: only an answer of the server can show that its limit has ended. */
        const val MINIMUM_PER_SECOND = 0.1

        /** Time for which an unused limit accumulates credit, for requests that arrive unevenly. */
        val CREDIT_TIME = 500.milliseconds

        /** Requests for which a low limit accumulates credit; with only one, much of it is lost between requests. */
        const val SMALLEST_CREDIT_LIMIT = 2.0

        /** Resolution of [Timestamp]; shorter waits are rounding errors. */
        val SMALLEST_WAIT = 1.milliseconds
    }
}
