/*
 * Limits retries to a fraction of the first attempts, so that retries cannot multiply the load of an overloaded pool.
 */
package org.arbutusnotch.core.retry

import org.arbutusnotch.core.time.Timestamp
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Counts first attempts and retries in a sliding window.
 *
 * @param firstAttemptsPerRetry number of first attempts that allow one retry
 * @param fixedRetriesPerWindow retries allowed in each window in addition, even without first attempts
 */
public class RetryBudget(
    private val firstAttemptsPerRetry: Int = FIRST_ATTEMPTS_PER_RETRY,
    private val fixedRetriesPerWindow: Int = FIXED_RETRIES_PER_WINDOW,
) {
    private val buckets = ArrayDeque<Bucket>()
    private var rampUpStart: Timestamp? = null

    /** Fraction of the fixed retries that this budget allows; the budgets of other dispatchers allow the rest. */
    public var share: Double = 1.0

    /**
     * Starts at [now] to release the fixed retries gradually, since another budget may have allowed them recently. Most
     * of them become available over one window, so that successive budgets allow little more than a single one does.
     */
    public fun startRampUp(now: Timestamp) {
        rampUpStart = now
    }

    /** Records a first attempt at [now]. */
    public fun recordFirstAttempt(now: Timestamp) {
        currentBucket(now).firstAttempts++
    }

    /** Returns the number of retries that may start at [now]. */
    public fun availableRetries(now: Timestamp): Int {
        discardExpiredBuckets(now)
        val oldest = oldestBucketIndex(now)
        val windowFirstAttempts = buckets.filter { it.index > oldest }.sumOf { it.firstAttempts }
        val allowed =
            windowFirstAttempts / firstAttemptsPerRetry + (fixedRetriesPerWindow * share * rampUpFraction(now)).toInt()
        return (allowed - buckets.sumOf { it.retries }).coerceAtLeast(0)
    }

    /** Takes [count] retries from the budget; returns false and takes none when fewer are available. */
    public fun tryAcquire(now: Timestamp, count: Int = 1): Boolean {
        if (availableRetries(now) < count) return false
        currentBucket(now).retries += count
        return true
    }

    /** Records a retry that has already happened, within the budget or not; it reduces what is available later. */
    public fun recordRetry(now: Timestamp) {
        currentBucket(now).retries++
    }

    private fun rampUpFraction(now: Timestamp): Double {
        val start = rampUpStart ?: return 1.0
        return (INITIAL_FRACTION + (1 - INITIAL_FRACTION) * ((now - start) / WINDOW)).coerceIn(0.0, 1.0)
    }

    private fun currentBucket(now: Timestamp): Bucket {
        discardExpiredBuckets(now)
        val index = now.epochMillis.floorDiv(BUCKET_LENGTH.inWholeMilliseconds)
        val last = buckets.lastOrNull()
        if (last != null && last.index >= index) return last
        return Bucket(index).also { buckets.addLast(it) }
    }

    private fun discardExpiredBuckets(now: Timestamp) {
        val oldest = oldestBucketIndex(now)
        while (buckets.isNotEmpty() && buckets.first().index < oldest) buckets.removeFirst()
    }

    /**
     * Returns the index of the bucket in which the window begins. Its retries are counted and its first attempts are
     * not, so that the budget is never exceeded in any window of the length [WINDOW].
     */
    private fun oldestBucketIndex(now: Timestamp): Long =
        (now - WINDOW).epochMillis.floorDiv(BUCKET_LENGTH.inWholeMilliseconds)

    private class Bucket(val index: Long) {
        var firstAttempts = 0
        var retries = 0
    }

    public companion object {
        /** Number of first attempts that allow one retry. */
        public const val FIRST_ATTEMPTS_PER_RETRY: Int = 10

        /** Retries allowed in each window in addition, even without first attempts. */
        public const val FIXED_RETRIES_PER_WINDOW: Int = 3

        /** Length of the sliding window in which first attempts and retries are counted. */
        public val WINDOW: Duration = 10.seconds

        private val BUCKET_LENGTH: Duration = 1.seconds

        /** Fraction of the fixed retries available at once; an isolated first failure is still retried. */
        private const val INITIAL_FRACTION = 0.125
    }
}
