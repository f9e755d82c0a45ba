/*
 * The messages by which instances keep and find the origins of each other's streams.
 */
package org.arbutusnotch.forwarding.stream

import org.arbutusnotch.core.id.FailureDomainId
import org.arbutusnotch.core.id.Incarnation
import org.arbutusnotch.core.id.InstanceAddress
import org.arbutusnotch.core.id.InstanceId
import org.arbutusnotch.core.id.PoolId
import org.arbutusnotch.core.id.RequestId
import org.arbutusnotch.core.id.SoftwareVersion
import org.arbutusnotch.core.membership.InstanceView
import org.arbutusnotch.core.message.InstanceRow
import org.arbutusnotch.core.message.InstanceState
import org.arbutusnotch.core.message.StreamMessage
import org.arbutusnotch.core.stream.OriginLookup
import org.arbutusnotch.core.stream.StreamOrigin
import org.arbutusnotch.core.time.Timestamp
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThanOrEqualTo
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class StreamOriginsTest {
    private var now = Timestamp(1_000_000)
    private val stream = RequestId("r")
    private val origin = StreamOrigin(PoolId("pool"), SoftwareVersion("1"))
    private val fleet = HashMap<InstanceAddress, StreamOrigins>()

    /** Instances that neither get nor send messages. */
    private val lost = HashSet<InstanceAddress>()
    private var sent = 0

    /** Number of the messages, counted from the first, that do not arrive. */
    private var dropped: (Int) -> Boolean = { false }

    init {
        (1..6).forEach { number ->
            val address = InstanceAddress("10.0.${number % 3}.$number:1")
            fleet[address] = instance(address)
        }
    }

    private fun instance(address: InstanceAddress) = StreamOrigins(
        serving = { peersOf(address) },
        asked = { peersOf(address) },
        send = { target, message -> deliver(address, target, message) },
        now = { now },
    )

    private fun peersOf(self: InstanceAddress) = fleet.keys.filter { it != self }.sortedBy { it.value }.map {
        val domain = FailureDomainId(it.value.split('.')[2])
        val row = InstanceRow(InstanceId(it, Incarnation(1)), "", "", domain, InstanceState.SERVING, heartbeat = 1)
        InstanceView(row, reachable = true)
    }

    private fun deliver(sender: InstanceAddress, target: InstanceAddress, message: StreamMessage) {
        sent += 1
        if (sender in lost || target in lost || dropped(sent)) return
        fleet.getValue(target).onMessage(message, sender)
    }

    private fun advance(millis: Int) = repeat(millis / TICK_MILLIS) {
        now += TICK_MILLIS.milliseconds
        fleet.values.forEach { it.tick(now) }
    }

    private fun record(holder: InstanceAddress) =
        fleet.getValue(holder).record(stream, origin, number = 1, expiresAt = now + 5.seconds)

    /** Returns what each remaining instance finds within [millis]; instances that have no answer yet are left out. */
    private fun findEverywhere(millis: Int = 200): List<OriginLookup> {
        val found = mutableListOf<OriginLookup>()
        fleet.filterKeys { it !in lost }.values.forEach { it.find(stream) { lookup -> found += lookup } }
        advance(millis)
        return found
    }

    private val addresses
        get() = fleet.keys.sortedBy { it.value }

    /** Guards against an origin that is lost with the instance that served the stream. */
    @Test
    fun `every instance finds the origin after its holder is lost`() {
        record(addresses[0])
        lost += addresses[0]
        expectThat(findEverywhere()).isEqualTo(List(5) { OriginLookup.Known(origin) })
    }

    /** Guards against an origin that is lost with the first datagrams. */
    @Test
    fun `origin is kept although the first messages are dropped`() {
        dropped = { it <= 5 || it % 3 == 0 }
        record(addresses[1])
        advance(200)
        lost += addresses[1]
        expectThat(findEverywhere()).isEqualTo(List(5) { OriginLookup.Known(origin) })
    }

    /** Guards against a caller that waits for instances that are gone. */
    @Test
    fun `question ends without a verdict when nobody answers`() {
        lost += addresses.drop(1)
        expectThat(findEverywhere(millis = 150)).isEqualTo(listOf(OriginLookup.Unavailable))
    }

    /** Guards against an origin that counts as unknown although an instance that may keep it has not answered. */
    @Test
    fun `origin is not unknown while one instance has not answered`() {
        lost += addresses[0]
        expectThat(findEverywhere()).isEqualTo(List(5) { OriginLookup.Unavailable })
    }

    /** Guards against a caller that waits for the end of the question although all have answered. */
    @Test
    fun `origin that nobody knows is unknown at once`() {
        expectThat(findEverywhere(millis = 0)).isEqualTo(List(6) { OriginLookup.Unknown })
    }

    /** Guards against messages without end to instances of an earlier release, which do not understand them. */
    @Test
    fun `notices that are never confirmed end`() {
        lost += addresses.drop(1)
        record(addresses[0])
        advance(2_000)
        expectThat(sent).isLessThanOrEqualTo(15)
    }

    /** Guards against origins that outlive the callers of their streams. */
    @Test
    fun `origin is forgotten when its caller has given up`() {
        record(addresses[0])
        advance(6_000)
        expectThat(fleet.values.map { it.size }).isEqualTo(List(6) { 0 })
        expectThat(findEverywhere()).isEqualTo(List(6) { OriginLookup.Unknown })
    }

    private companion object {
        const val TICK_MILLIS = 25
    }
}
