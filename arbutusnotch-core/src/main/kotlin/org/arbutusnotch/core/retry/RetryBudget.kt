/*
 * Limits retries to a part of the first attempts, so that retries cannot multiply the load of an overloaded pool.
 */
package org.arbutusnotch.core.retry

import org.arbutusnotch.core.time.Timestamp
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Counts first attempts and retries in a sliding window.
 *
 * @param firstAttemptsPerRetry one retry is allowed for this many first attempts
 * @param fixedAllowance retries that are allowed in each window without first attempts
 */
public class RetryBudget(
    private val firstAttemptsPerRetry: Int = FIRST_ATTEMPTS_PER_RETRY,
    private val fixedAllowance: Int = FIXED_ALLOWANCE,
) {
    private val buckets = ArrayDeque<Bucket>()
    private var begunAt: Timestamp? = null

    /** Part of the fixed allowance that this budget gives out, while other budgets give out the rest. */
    public var share: Double = 1.0

    /**
     * Begins to give out the fixed allowance at [now], since another budget may have given it out lately. Most of it
     * becomes available over one window, so that budgets which follow one another give out little more than one does.
     */
    public fun beginAnew(now: Timestamp) {
        begunAt = now
    }

    /** Records a first attempt at [now]. */
    public fun recordFirstAttempt(now: Timestamp) {
        current(now).firstAttempts++
    }

    /** Returns the number of retries that may start at [now]. */
    public fun available(now: Timestamp): Int {
        discardOld(now)
        val oldest = oldestBucket(now)
        val firstAttempts = buckets.filter { it.number > oldest }.sumOf { it.firstAttempts }
        val allowed = firstAttempts / firstAttemptsPerRetry + (fixedAllowance * share * availablePart(now)).toInt()
        return (allowed - buckets.sumOf { it.retries }).coerceAtLeast(0)
    }

    /** Takes [count] retries from the budget; returns false and takes nothing when fewer are left. */
    public fun take(now: Timestamp, count: Int = 1): Boolean {
        if (available(now) < count) return false
        current(now).retries += count
        return true
    }

    /** Records a retry that has happened, whether it was allowed or not; later ones wait for it. */
    public fun charge(now: Timestamp) {
        current(now).retries++
    }

    private fun availablePart(now: Timestamp): Double {
        val begun = begunAt ?: return 1.0
        return (FIRST_PART + (1 - FIRST_PART) * ((now - begun) / WINDOW)).coerceIn(0.0, 1.0)
    }

    private fun current(now: Timestamp): Bucket {
        discardOld(now)
        val start = now.epochMillis.floorDiv(BUCKET.inWholeMilliseconds)
        val last = buckets.lastOrNull()
        if (last != null && last.number >= start) return last
        return Bucket(start).also { buckets.addLast(it) }
    }

    private fun discardOld(now: Timestamp) {
        val oldest = oldestBucket(now)
        while (buckets.isNotEmpty() && buckets.first().number < oldest) buckets.removeFirst()
    }

    /**
     * Returns the bucket in which the window begins. Its retries count and its first attempts do not, so that the
     * budget holds exactly for every window.
     */
    private fun oldestBucket(now: Timestamp): Long = (now - WINDOW).epochMillis.floorDiv(BUCKET.inWholeMilliseconds)

    private class Bucket(val number: Long) {
        var firstAttempts = 0
        var retries = 0
    }

    public companion object {
        /** One retry is allowed for this many first attempts. */
        public const val FIRST_ATTEMPTS_PER_RETRY: Int = 10

        /** Retries that are allowed in each window without first attempts. */
        public const val FIXED_ALLOWANCE: Int = 3

        /** Time over which first attempts and retries are counted. */
        public val WINDOW: Duration = 10.seconds

        private val BUCKET: Duration = 1.seconds

        /** Part of the fixed allowance that is available at once; a first failure is still repeated. */
        private const val FIRST_PART = 0.125
    }
}
