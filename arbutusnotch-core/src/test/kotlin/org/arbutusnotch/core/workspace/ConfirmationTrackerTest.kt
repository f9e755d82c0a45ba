/*
 * Tests the age of confirmations of the configuration, in particular after pauses of the process.
 */
package org.arbutusnotch.core.workspace

import org.arbutusnotch.core.time.Timestamp
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isNull
import strikt.assertions.isTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

internal class ConfirmationTrackerTest {
    private val tracker = ConfirmationTracker()
    private var now = Timestamp(1_000_000)
    private var wall = Timestamp(5_000_000)

    /** Lets [millis] pass, [uncounted] of them for the wall clock only; returns whether that is a pause. */
    private fun pass(millis: Long, uncounted: Long = 0): Boolean {
        now += (millis - uncounted).milliseconds
        wall += millis.milliseconds
        return tracker.checkForPause(now, wall)
    }

    /** Lets [millis] pass with ticks. */
    private fun run(millis: Long) = repeat((millis / TICK_MILLIS).toInt()) {
        expectThat(pass(TICK_MILLIS)).isFalse()
        tracker.recordTick(now)
    }

    private fun confirmByStore(sentAgo: Duration = Duration.ZERO, waited: Duration = Duration.ZERO) =
        tracker.confirmByStore(now - sentAgo, now - sentAgo + waited)

    @Test
    fun `confirmation of the store is as old as its call without the wait`() {
        run(100)
        expectThat(tracker.age(now)).isNull()
        confirmByStore(sentAgo = 1_010.milliseconds, waited = 1_000.milliseconds)
        run(200)
        expectThat(tracker.age(now)).isEqualTo(210.milliseconds)
        confirmByStore(sentAgo = 800.milliseconds)
        expectThat(tracker.age(now)).isEqualTo(210.milliseconds)
    }

    @Test
    fun `confirmation of a peer is older than the peer says`() {
        run(100)
        tracker.confirmByPeer(age = 30.milliseconds, now)
        expectThat(tracker.age(now)).isEqualTo(280.milliseconds)
    }

    /** Guards against a revoked key that is accepted after the process was stopped and resumed. */
    @Test
    fun `gap between ticks voids confirmations`() {
        run(100)
        confirmByStore()
        expectThat(pass(500)).isFalse()
        expectThat(tracker.age(now)).isEqualTo(500.milliseconds)
        expectThat(pass(1)).isTrue()
        expectThat(tracker.age(now)).isNull()
        expectThat(pass(1)).isFalse()
    }

    /** Guards against a pause of the machine that the monotonic clock does not count. */
    @Test
    fun `time that only the wall clock counts voids confirmations or makes them older`() {
        run(100)
        confirmByStore()
        expectThat(pass(1_000, uncounted = 1_000)).isFalse()
        expectThat(tracker.age(now)).isEqualTo(1_000.milliseconds)
        expectThat(pass(1_001, uncounted = 1_001)).isTrue()
        expectThat(tracker.age(now)).isNull()
    }

    /** Guards against a wall clock that is set back and makes a confirmation appear younger. */
    @Test
    fun `wall clock that is set back changes nothing`() {
        run(100)
        confirmByStore()
        wall -= 10_000.milliseconds
        run(400)
        expectThat(tracker.age(now)).isEqualTo(400.milliseconds)
    }

    /** Guards against messages and answers from before a pause that are read after it. */
    @Test
    fun `after a pause only calls to the store that were sent since count at once`() {
        run(100)
        expectThat(pass(2_000)).isTrue()
        tracker.confirmByPeer(Duration.ZERO, now)
        confirmByStore(sentAgo = 1.milliseconds, waited = 1.milliseconds)
        expectThat(tracker.age(now)).isNull()
        confirmByStore()
        expectThat(tracker.age(now)).isEqualTo(Duration.ZERO)
    }

    /** Guards against an instance without a store that rejects all requests after a pause. */
    @Test
    fun `peers count again some time after a pause`() {
        run(100)
        expectThat(pass(2_000)).isTrue()
        run(475)
        tracker.confirmByPeer(Duration.ZERO, now)
        expectThat(tracker.age(now)).isNull()
        run(25)
        tracker.confirmByPeer(Duration.ZERO, now)
        expectThat(tracker.age(now)).isEqualTo(250.milliseconds)
    }

    private companion object {
        const val TICK_MILLIS = 25L
    }
}
