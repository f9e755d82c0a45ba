/*
 * Records of where streams began, and the instances that keep them.
 */
package org.arbutusnotch.core.stream

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
import org.arbutusnotch.core.time.Timestamp
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.hasSize
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThanOrEqualTo
import strikt.assertions.isNull
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class StreamOriginTest {
    private val table = StreamOriginTable()
    private val stream = RequestId("r")
    private val start = Timestamp(1_000_000)

    private fun origin(version: String) = StreamOrigin(PoolId("pool"), SoftwareVersion(version))

    /** Guards against a run that was given up before its first event and whose late message replaces the later run. */
    @Test
    fun `origin is that of the latest run`() {
        table.record(stream, origin("2"), number = 2, expiresAt = start + 5.seconds)
        table.record(stream, origin("1"), number = 1, expiresAt = start + 9.seconds)
        expectThat(table.find(stream, start)).isEqualTo(origin("2"))
        table.record(stream, origin("3"), number = 3, expiresAt = start + 5.seconds)
        expectThat(table.find(stream, start)).isEqualTo(origin("3"))
    }

    /** Guards against records that outlive their callers, and against one that ends before a take-up's caller. */
    @Test
    fun `origin is held until its caller gives up`() {
        table.record(stream, origin("1"), number = 1, expiresAt = start + 5.seconds)
        table.record(stream, origin("1"), number = 1, expiresAt = start + 7.seconds)
        expectThat(table.find(stream, start + 6.seconds)).isEqualTo(origin("1"))
        expectThat(table.find(stream, start + 7.seconds)).isNull()
        table.removeExpired(start + 7.seconds)
        expectThat(table.size).isEqualTo(0)
    }

    private fun instance(number: Int, domain: Int) = InstanceView(
        InstanceRow(
            instance = InstanceId(InstanceAddress("10.0.$domain.$number:1"), Incarnation(1)),
            entryAddress = "",
            operatorAddress = "",
            failureDomain = FailureDomainId("$domain"),
            state = InstanceState.SERVING,
            heartbeat = 1,
        ),
        reachable = true,
    )

    private val fleet = (1..3).flatMap { domain -> (1..7).map { instance(it, domain) } }

    /** Guards against keepers that the loss of one failure domain takes together. */
    @Test
    fun `keepers belong to different failure domains`() {
        (1..50).forEach { number ->
            val keepers = OriginKeepers.select(RequestId("r$number"), fleet, count = 3)
            expectThat(keepers.map { it.value.split('.')[2] }.distinct()).hasSize(3)
        }
        expectThat(OriginKeepers.select(stream, fleet.filter { it.row.failureDomain.value == "1" }, 3)).hasSize(3)
    }

    /** Guards against a question that misses the remaining keepers after some instances are lost. */
    @Test
    fun `remaining keepers are among those asked after instances are lost`() {
        (1..50).forEach { number ->
            val id = RequestId("r$number")
            val keepers = OriginKeepers.select(id, fleet, count = 3)
            val remaining = fleet.filterIndexed { index, _ -> (index + number) % 3 != 0 }
            val asked = OriginKeepers.select(id, remaining, count = 8)
            val missed = keepers.filter { keeper -> remaining.any { it.address == keeper } && keeper !in asked }
            expectThat(missed).hasSize(0)
        }
    }

    /** Guards against keepers that are the same instances for most streams. */
    @Test
    fun `keepers are spread over the instances`() {
        val counts = (1..700).flatMap {
            OriginKeepers.select(RequestId("r$it"), fleet, 3)
        }.groupingBy { it }.eachCount()
        expectThat(counts).hasSize(21)
        expectThat(counts.values.max()).isLessThanOrEqualTo(200)
    }

    /** Guards against an expiry that is taken as a duration. */
    @Test
    fun `record that has expired on arrival is not found`() {
        table.record(stream, origin("1"), number = 1, expiresAt = start - 1.milliseconds)
        expectThat(table.find(stream, start)).isNull()
    }
}
