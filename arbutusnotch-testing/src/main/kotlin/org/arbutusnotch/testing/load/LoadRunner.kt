/*
 * Sends the requests of a plan at their arrival times, whether or not earlier ones have ended.
 */
package org.arbutusnotch.testing.load

import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import java.util.concurrent.atomic.AtomicInteger
import kotlin.time.Duration
import kotlin.time.Duration.Companion.nanoseconds

/** Sends loads through [client] and counts their progress. */
public class LoadRunner(private val client: CallerClient) {
    private val sentCount = AtomicInteger()
    private val finishedCount = AtomicInteger()

    /** Number of requests sent so far. */
    public val sent: Int get() = sentCount.get()

    /** Number of requests that have ended so far. */
    public val finished: Int get() = finishedCount.get()

    /** Sends every request of [plan] and returns when the last one has ended. */
    public suspend fun run(plan: LoadPlan): LoadResult = coroutineScope {
        val start = System.nanoTime()
        val pending = plan.requests.map { scheduled ->
            waitUntil(start, scheduled.arrival)
            sentCount.incrementAndGet()
            async {
                client.send(scheduled, start + scheduled.arrival.inWholeNanoseconds).also {
                    finishedCount.incrementAndGet()
                }
            }
        }
        LoadResult(pending.awaitAll())
    }

    private suspend fun waitUntil(startNanos: Long, arrival: Duration) {
        val wait = arrival - (System.nanoTime() - startNanos).nanoseconds
        if (wait.isPositive()) delay(wait)
    }
}
