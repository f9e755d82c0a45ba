/*
 * Followers of the stand-in store without an instance.
 */
package org.arbutusnotch.forwarding.registry

import io.netty.channel.EventLoopGroup
import org.arbutusnotch.core.forwarding.AnswerBufferBudget
import org.arbutusnotch.core.forwarding.WatchTime
import org.arbutusnotch.core.time.Timestamp
import org.arbutusnotch.forwarding.fixture.StandInStore
import org.arbutusnotch.forwarding.http.socketAddress
import org.arbutusnotch.telemetry.Clock
import org.arbutusnotch.telemetry.MonotonicClock
import kotlin.random.Random
import kotlin.time.Duration

/** Records whether a follower has listed the store, and how many of its calls failed. */
internal class RecordingListener : StoreListener {
    @Volatile
    var replaced = false

    override fun onReplaced(items: Collection<StoreItem>, restored: Boolean) {
        replaced = true
    }

    override fun onChanged(change: StoreChange) = Unit

    /** Number of calls that failed. */
    @Volatile
    var failures = 0
        private set

    override fun onStoreFailure(since: Timestamp) {
        failures += 1
    }

    override fun onStoreRecovery() = Unit
}

/** Returns a follower of the servers in [store] that is not started. */
internal fun testFollower(
    store: StandInStore,
    group: EventLoopGroup,
    listener: StoreListener = RecordingListener(),
    clock: Clock = MonotonicClock(),
    watchTime: Duration = WatchTime.of(instances = 1),
    onCurrent: (sentAt: Timestamp, validAt: Timestamp) -> Unit = { _, _ -> },
) = StoreFollower(
    prefix = "servers/",
    address = socketAddress(store.address),
    protocol = store.protocol,
    group = group,
    clock = clock,
    random = Random(1),
    listener = listener,
    memory = AnswerBufferBudget(1_000_000),
    watchTime = { watchTime },
    onCurrent = onCurrent,
)
