/*
 * Tests the times at which answers of the store show that the followed items were current.
 */
package org.arbutusnotch.forwarding.registry

import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import org.arbutusnotch.forwarding.fixture.StandInStore
import org.arbutusnotch.forwarding.fixture.awaitUntil
import org.arbutusnotch.forwarding.fixture.testServer
import org.arbutusnotch.telemetry.MonotonicClock
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.all
import strikt.assertions.first
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThanOrEqualTo
import strikt.assertions.isLessThanOrEqualTo
import java.util.concurrent.CopyOnWriteArrayList
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class CurrentItemsTest {
    private val group = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
    private val store = StandInStore()
    private val clock = MonotonicClock()

    /** For each answer, for how long its call showed that the items were current, and how long ago that was. */
    private val answers = CopyOnWriteArrayList<Pair<Duration, Duration>>()
    private val follower = testFollower(store, group, clock = clock, watchTime = 1.seconds) { sentAt, validAt ->
        answers += (validAt - sentAt) to (clock.now() - validAt)
    }

    @AfterEach
    fun close() {
        group.shutdownGracefully()
        store.close()
    }

    private fun awaitAnswers(count: Int) = awaitUntil("$count answers") { answers.size >= count }

    /** Guards against confirmations that are a second old as soon as they arrive. */
    @Test
    fun `watch that waited to its end counts from its end`() {
        follower.start()
        awaitAnswers(3)
        expectThat(answers).first().get { first }.isEqualTo(Duration.ZERO)
        expectThat(answers.drop(1)).all {
            get { first }.isGreaterThanOrEqualTo(950.milliseconds).isLessThanOrEqualTo(1.seconds)
            get { second }.isLessThanOrEqualTo(500.milliseconds)
        }
    }

    /** Guards against items that count as current at a time at which the store had not answered for. */
    @Test
    fun `answer before the end of the wait counts from the time of sending`() {
        follower.start()
        awaitAnswers(1)
        awaitUntil("a watch waits") { store.waitingWatches > 0 }
        store.put("servers/a", testServer("a", "127.0.0.1:1"))
        awaitAnswers(2)
        store.fault = StandInStore.Fault.WATCHES_DO_NOT_WAIT
        store.cutWatches()
        awaitAnswers(4)
        expectThat(answers.take(4).map { it.first }).isEqualTo(List(4) { Duration.ZERO })
    }

    /** Guards against a store whose answer to a check never arrives, since each check replaces the one before. */
    @Test
    fun `check ends the waiting watch and a later one does not replace it`() {
        follower.start()
        awaitAnswers(1)
        awaitUntil("a watch waits") { store.waitingWatches > 0 }
        val calls = store.calls
        group.submit { repeat(3) { follower.confirm(notBefore = clock.now() - 1.seconds) } }.get()
        awaitAnswers(2)
        expectThat(answers[1].second).isLessThanOrEqualTo(500.milliseconds)
        expectThat(store.calls - calls).isLessThanOrEqualTo(2)
    }
}
