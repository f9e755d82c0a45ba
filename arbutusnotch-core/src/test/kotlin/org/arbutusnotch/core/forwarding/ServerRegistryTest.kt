/*
 * Tests which registered servers get new work.
 */
package org.arbutusnotch.core.forwarding

import org.arbutusnotch.core.id.BackendServerId
import org.arbutusnotch.core.id.FailureDomainId
import org.arbutusnotch.core.id.PoolId
import org.arbutusnotch.core.id.SoftwareVersion
import org.arbutusnotch.core.time.Timestamp
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isNotNull
import strikt.assertions.isNull
import strikt.assertions.isTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class ServerRegistryTest {
    private val registry = ServerRegistry(grace = 1_200.milliseconds, outageGrace = 2_500.milliseconds)
    private val start = Timestamp(1_000_000)
    private val id = BackendServerId("a")

    private fun server(startedAt: Long = 5, leaving: Boolean = false, address: String = "10.0.0.1:1") = BackendServer(
        id = id,
        pool = PoolId("pool"),
        address = address,
        failureDomain = FailureDomainId("one"),
        stage = ServerStage.WHOLE,
        slots = 4,
        leaving = leaving,
        startedAt = startedAt,
        version = SoftwareVersion("1"),
    )

    @Test
    fun `leaving server is not usable`() {
        registry.put(server(), start)
        registry.put(server(leaving = true), start)
        expectThat(registry.findUsable(id, start)).isNull()
    }

    /** Guards against a stale entry that makes a server usable again after it announced that it is leaving. */
    @Test
    fun `server that announced that it is leaving stays unusable until a later start`() {
        registry.put(server(startedAt = 5), start)
        expectThat(registry.recordLeaving(id, startedAt = 5)).isTrue()
        expectThat(registry.recordLeaving(id, startedAt = 5)).isFalse()
        registry.put(server(startedAt = 5), start + 1.seconds)
        registry.replaceAll(listOf(server(startedAt = 5)), start + 2.seconds)
        registry.remove(id, start + 3.seconds)
        registry.put(server(startedAt = 5), start + 60.seconds)
        expectThat(registry.findUsable(id, start + 60.seconds)).isNull()
        expectThat(registry.usable(start + 60.seconds)).isEmpty()
        registry.put(server(startedAt = 6), start + 61.seconds)
        expectThat(registry.findUsable(id, start + 61.seconds)).isNotNull()
    }

    /** Guards against an announcement that arrives after a restart of the server and disables the new process. */
    @Test
    fun `announcement of an earlier start has no effect`() {
        registry.put(server(startedAt = 6), start)
        registry.recordLeaving(id, startedAt = 5)
        expectThat(registry.findUsable(id, start)).isNotNull()
    }

    /** Guards against a pause that is cut short by an earlier time, and against a pause that never ends. */
    @Test
    fun `paused server is not usable until its pause ends`() {
        registry.put(server(), start)
        registry.pause(id, start + 2.seconds)
        registry.pause(id, start + 1.seconds)
        expectThat(registry.findUsable(id, start + 1_999.milliseconds)).isNull()
        expectThat(registry.usable(start).map { it.id }).isEqualTo(listOf(id))
        expectThat(registry.findUsable(id, start + 2.seconds)).isNotNull()
    }

    private fun observation(perSecond: Double?, startedAt: Long = 5) =
        LimitObservation(id, startedAt, perSecond, observedAt = start)

    /** Guards against a limit that is forgotten while the entry of its server has expired during an outage. */
    @Test
    fun `latest limit of a usable server is reported`() {
        registry.put(server(), start)
        expectThat(registry.recordLimit(observation(4.6))).isTrue()
        expectThat(registry.recordLimit(observation(4.6))).isFalse()
        expectThat(registry.limits(PoolId("pool"), start)).isEqualTo(listOf(observation(4.6)))
        expectThat(registry.limits(PoolId("other"), start)).isEmpty()
        registry.remove(id, start)
        expectThat(registry.limits(PoolId("pool"), start)).isEqualTo(listOf(observation(4.6)))
        expectThat(registry.recordLimit(observation(null))).isTrue()
        expectThat(registry.limits(PoolId("pool"), start)).isEmpty()
    }

    /** Guards against a limit of an earlier process of the server. */
    @Test
    fun `restarted server has no limit`() {
        registry.put(server(startedAt = 5), start)
        registry.recordLimit(observation(4.6, startedAt = 5))
        registry.put(server(startedAt = 6), start)
        expectThat(registry.limits(PoolId("pool"), start)).isEmpty()
    }

    /** Guards against an old heartbeat that replaces the entry of a later start. */
    @Test
    fun `entry of an earlier start is ignored`() {
        registry.put(server(startedAt = 9, address = "10.0.0.2:1"), start)
        registry.put(server(startedAt = 5), start)
        expectThat(registry.findUsable(id, start)?.address).isEqualTo("10.0.0.2:1")
    }

    /** Guards against work for a server after the time for which it still serves requests after its removal. */
    @Test
    fun `removed server is usable for its grace time`() {
        registry.put(server(), start)
        registry.remove(id, start)
        expectThat(registry.findUsable(id, start + 1_100.milliseconds)).isNotNull()
        expectThat(registry.findUsable(id, start + 1_200.milliseconds)).isNull()
    }

    /** Guards against an empty pool after entries expired while the store was unavailable. */
    @Test
    fun `server whose entry expired during an outage is usable until it had time to register again`() {
        registry.put(server(), start)
        registry.recordOutage(start)
        registry.remove(id, start + 3.seconds)
        registry.recordOutage(start + 4.seconds)
        expectThat(registry.findUsable(id, start + 6_400.milliseconds)).isNotNull()
        expectThat(registry.findUsable(id, start + 6_600.milliseconds)).isNull()
    }

    /** Guards against a server whose expired entry is heard of with the first answer after an outage. */
    @Test
    fun `server whose entry is missing after an outage is usable until it had time to register again`() {
        registry.put(server(), start)
        registry.recordOutage(start + 3.seconds, since = start)
        registry.recordRecovery(start + 4.seconds)
        registry.replaceAll(emptyList(), start + 4.seconds)
        expectThat(registry.findUsable(id, start + 6_400.milliseconds)).isNotNull()
        expectThat(registry.findUsable(id, start + 6_600.milliseconds)).isNull()
    }

    /** Guards against a removal that an outage makes ineffective although it was heard before (review case 5). */
    @Test
    fun `removal before an outage is certain`() {
        registry.put(server(), start)
        registry.remove(id, start)
        (1..5).forEach { registry.recordOutage(start + it.seconds) }
        registry.recordRecovery(start + 6.seconds)
        expectThat(registry.findUsable(id, start + 1_200.milliseconds)).isNull()
    }

    /** Guards against calls that were cut for a moment and count as outages, one after the other. */
    @Test
    fun `removal after short failures is certain`() {
        registry.put(server(), start)
        for (cut in 0..9) {
            registry.recordOutage(start + (300 * cut).milliseconds)
            registry.recordRecovery(start + (300 * cut + 90).milliseconds)
        }
        registry.remove(id, start + 3.seconds)
        expectThat(registry.findUsable(id, start + 4_100.milliseconds)).isNotNull()
        expectThat(registry.findUsable(id, start + 4_200.milliseconds)).isNull()
    }

    /** Guards against a short failure that extends the grace of an outage before it. */
    @Test
    fun `short failure after an outage does not extend its grace`() {
        registry.put(server(), start)
        registry.recordOutage(start + 3.seconds, since = start)
        registry.recordRecovery(start + 3.seconds)
        registry.remove(id, start + 3.seconds)
        registry.recordOutage(start + 5.seconds)
        registry.recordRecovery(start + 5_090.milliseconds)
        expectThat(registry.findUsable(id, start + 5_400.milliseconds)).isNotNull()
        expectThat(registry.findUsable(id, start + 5_500.milliseconds)).isNull()
    }

    @Test
    fun `complete list replaces all entries`() {
        registry.put(server(), start)
        registry.replaceAll(emptyList(), start)
        expectThat(registry.usable(start + 2.seconds).size).isEqualTo(0)
    }

    /** Guards against a server that was leaving and gets requests again because the copy of the registry is older. */
    @Test
    fun `server that was leaving before a restoration is unusable until it writes its entry again`() {
        registry.put(server(leaving = true), start)
        registry.restore(listOf(server()), start + 1.seconds)
        registry.restore(listOf(server()), start + 4.seconds)
        expectThat(registry.usable(start + 8.seconds)).isEmpty()
        registry.put(server(leaving = true), start + 8.seconds)
        expectThat(registry.usable(start + 60.seconds)).isEmpty()
        registry.put(server(), start + 61.seconds)
        expectThat(registry.findUsable(id, start + 61.seconds)).isNotNull()
    }

    /** Guards against a server that is gone and gets requests again because the copy still lists it. */
    @Test
    fun `server that was removed before a restoration is unusable until it writes its entry again`() {
        registry.put(server(), start)
        registry.remove(id, start)
        registry.restore(listOf(server()), start + 10.seconds)
        expectThat(registry.findUsable(id, start + 11.seconds)).isNull()
        expectThat(registry.usable(start + 11.seconds)).isEmpty()
        registry.put(server(), start + 12.seconds)
        expectThat(registry.findUsable(id, start + 12.seconds)).isNotNull()
    }

    /** Guards against a server that is gone and gets requests when the entry of the copy expires or is lost again. */
    @Test
    fun `server that was removed before a restoration gets no grace when the copied entry disappears`() {
        registry.put(server(), start)
        registry.remove(id, start)
        registry.restore(listOf(server()), start + 10.seconds)
        registry.remove(id, start + 12.seconds)
        expectThat(registry.findUsable(id, start + 12.seconds)).isNull()
        expectThat(registry.usable(start + 12.seconds)).isEmpty()
        registry.restore(listOf(server()), start + 13.seconds)
        registry.restore(emptyList(), start + 14.seconds)
        expectThat(registry.usable(start + 14.seconds)).isEmpty()
    }

    /** Guards against a sound server that never gets requests again because its entry does not change. */
    @Test
    fun `server that the restored registry keeps listing becomes usable`() {
        registry.put(server(), start)
        registry.remove(id, start)
        registry.restore(listOf(server()), start + 10.seconds)
        expectThat(registry.findUsable(id, start + 15.seconds)).isNotNull()
    }

    /** Guards against a pool without servers until those that the copy lacks have registered again. */
    @Test
    fun `server that a restored registry lacks is usable for the grace of an outage`() {
        registry.put(server(), start)
        registry.restore(emptyList(), start + 10.seconds)
        expectThat(registry.findUsable(id, start + 12.seconds)).isNotNull()
        expectThat(registry.findUsable(id, start + 13.seconds)).isNull()
    }
}
