/*
 * Tests following the store through outages.
 */
package org.arbutusnotch.forwarding.registry

import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import org.arbutusnotch.forwarding.fixture.StandInStore
import org.arbutusnotch.forwarding.fixture.awaitUntil
import org.arbutusnotch.telemetry.Clock
import org.arbutusnotch.telemetry.MonotonicClock
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThan
import java.util.concurrent.atomic.AtomicLong
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

class StoreFollowerTest {
    /**
     * Guards against an instance that starts while the store does not respond, and keeps waiting for the response to a
     * lost call after the store has recovered: no caller got a response for 2 to 3 s.
     */
    @Test
    fun `listing is retried soon after the store recovers`() {
        val group = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
        StandInStore().use { store ->
            val listener = RecordingListener()
            store.silent = true
            testFollower(store, group, listener).start()
            awaitUntil("a call is lost") { store.unansweredCalls > 0 }
            store.silent = false
            val since = TimeSource.Monotonic.markNow()
            awaitUntil("the items are listed") { listener.replaced }
            expectThat(since.elapsedNow()).isLessThan(2.seconds)
        }
        group.shutdownGracefully()
    }

    /** Guards against two sequences of calls after a restart, for which the pause of a frozen process is a reason. */
    @Test
    fun `restart replaces the pending step`() {
        val group = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
        StandInStore().use { store ->
            val offsetMillis = AtomicLong()
            val running = MonotonicClock()
            val clock = Clock { running.now() + offsetMillis.get().milliseconds }
            val follower = testFollower(store, group, clock = clock)
            store.status = 503
            group.execute { follower.start() }
            Thread.sleep(FAILING_MILLIS)
            store.status = 200
            val before = store.calls
            group.submit {
                offsetMillis.set(60_000)
                follower.restartIfStopped()
            }.get()
            Thread.sleep(FAILING_MILLIS)
            expectThat(store.calls - before).isEqualTo(2)
        }
        group.shutdownGracefully()
    }

    /** Guards against changes that are too large together, and hide all later ones (review cases 8 and 9). */
    @Test
    fun `changes that are too large together are listed`() {
        val group = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
        StandInStore().use { store ->
            val listener = RecordingListener()
            val follower = testFollower(store, group, listener)
            follower.start()
            awaitUntil("a watch waits") { store.waitingWatches > 0 }
            store.putLarge("servers/other-", LARGE_ENTRIES, LARGE_BYTES)
            store.put("servers/later", "server")
            awaitUntil("the later item is known") {
                group.submit<Boolean> { follower.snapshot().any { it.key == "servers/later" } }.get()
            }
            expectThat(listener.failures).isEqualTo(0)
        }
        group.shutdownGracefully()
    }

    private companion object {
        /** Entries that are larger together than the memory of a test follower, which takes each of them. */
        const val LARGE_ENTRIES = 6
        const val LARGE_BYTES = 300_000

        /** Time after which the pause between two failing calls is at its longest. */
        const val FAILING_MILLIS = 1_500L
    }
}
