/*
 * Guards against lists and issuers that use instances that are leaving, or only one failure domain.
 */
package org.arbutusnotch.core.membership

import org.arbutusnotch.core.id.FailureDomainId
import org.arbutusnotch.core.message.InstanceState
import org.arbutusnotch.core.time.Timestamp
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.containsExactlyInAnyOrder
import strikt.assertions.hasSize
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isNull
import kotlin.random.Random
import kotlin.time.Duration.Companion.seconds

internal class EntryPointListTest {
    private val now = Timestamp(1_000)
    private val own = FailureDomainId("a")
    private val fleet = (1..7).map { viewOf(it, "a") } + (8..14).map { viewOf(it, "b") }

    @Test
    fun `instances of the caller's domain come first and other domains follow`() {
        val list = EntryPointList.create("caller", own, fleet, now)
        expectThat(list.addresses).hasSize(EntryPointList.MAXIMUM_ADDRESSES)
        expectThat(entryAddressesOf(1..7)).contains(list.addresses.take(3))
        expectThat(entryAddressesOf(8..14)).contains(list.addresses.drop(3))
        expectThat(list.validUntil).isEqualTo(now + 5.seconds)
    }

    @Test
    fun `callers are distributed over the instances of their domain`() {
        val first = (1..200).map { EntryPointList.create("caller-$it", own, fleet, now).addresses.first() }
        expectThat(first.groupingBy { it }.eachCount().values.min()).isGreaterThan(10)
    }

    @Test
    fun `leaving and unreachable instances are not listed`() {
        val views = listOf(
            viewOf(1, "a"),
            viewOf(2, "a", reachable = false),
            viewOf(3, "a", state = InstanceState.DRAINING),
            viewOf(4, "a", state = InstanceState.STARTING),
            viewOf(5, "b", leaving = true),
            viewOf(6, "b"),
        )
        expectThat(EntryPointList.create("caller", own, views, now).addresses)
            .containsExactlyInAnyOrder(entryAddressesOf(listOf(1, 6)))
        expectThat(EntryPointList.create("caller", own, views.drop(1).take(4), now).addresses).isEmpty()
    }

    @Test
    fun `a single domain fills the whole list`() {
        expectThat(EntryPointList.create("caller", own, fleet.take(7), now).addresses).hasSize(6)
    }

    @Test
    fun `the issuer is in another domain while an instance there accepts work`() {
        val selected = (1..50).map { IssuerSelection.select(own, fleet, Random(it))?.row?.failureDomain }
        expectThat(selected.toSet()).isEqualTo(setOf(FailureDomainId("b")))
    }

    @Test
    fun `the issuer is in the own domain when no other domain has an available instance`() {
        val views = listOf(viewOf(1, "a"), viewOf(8, "b", reachable = false), viewOf(9, "b", leaving = true))
        expectThat(IssuerSelection.select(own, views, Random(1))?.address).isEqualTo(addressOf(1))
        expectThat(IssuerSelection.select(own, views.drop(1), Random(1))).isNull()
    }

    private fun entryAddressesOf(numbers: Iterable<Int>) = numbers.map { "10.0.0.$it:8000" }
}
