/*
 * Following the store through its failures.
 */
package org.arbutusnotch.forwarding.registry

import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import org.arbutusnotch.core.forwarding.AnswerBufferBudget
import org.arbutusnotch.forwarding.fixture.StandInStore
import org.arbutusnotch.forwarding.fixture.awaitUntil
import org.arbutusnotch.forwarding.http.socketAddress
import org.arbutusnotch.telemetry.MonotonicClock
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isLessThan
import kotlin.random.Random
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

class StoreFollowerTest {
    private class Listener : StoreListener {
        @Volatile
        var replaced = false

        override fun onReplaced(items: Collection<StoreItem>) {
            replaced = true
        }

        override fun onChanged(change: StoreChange) = Unit

        override fun onTrouble() = Unit
    }

    /**
     * Guards against instances that start without routes while the store is silent, and wait for the answer to a call
     * that was lost after the store is back (cmn-dakar trouble-1: 2 to 3 s without an answer for any caller).
     */
    @Test
    fun `listing is repeated soon after the store is back`() {
        val group = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
        StandInStore().use { store ->
            val listener = Listener()
            val address = socketAddress(store.address)
            store.silent = true
            StoreFollower(
                "servers/",
                address,
                store.protocol,
                group,
                MonotonicClock(),
                Random(1),
                listener,
                AnswerBufferBudget(1_000_000),
            ).start()
            awaitUntil("a call is lost") { store.lostCalls > 0 }
            store.silent = false
            val since = TimeSource.Monotonic.markNow()
            awaitUntil("the items are listed") { listener.replaced }
            expectThat(since.elapsedNow()).isLessThan(2.seconds)
        }
        group.shutdownGracefully()
    }
}
