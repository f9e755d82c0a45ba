/*
 * Tests which instances call the store more often than the others.
 */
package org.arbutusnotch.core.forwarding

import org.arbutusnotch.core.id.FailureDomainId
import org.arbutusnotch.core.id.Incarnation
import org.arbutusnotch.core.id.InstanceAddress
import org.arbutusnotch.core.id.InstanceId
import org.arbutusnotch.core.membership.InstanceView
import org.arbutusnotch.core.message.InstanceRow
import org.arbutusnotch.core.message.InstanceState
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.hasSize
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse

internal class FrequentWatchersTest {
    private fun view(number: Int, domain: String) = InstanceView(
        row = InstanceRow(
            instance = InstanceId(InstanceAddress("10.0.0.$number:1"), Incarnation(1)),
            entryAddress = "",
            operatorAddress = "",
            failureDomain = FailureDomainId(domain),
            state = InstanceState.SERVING,
            heartbeat = 1,
        ),
        reachable = true,
    )

    private fun selected(views: List<InstanceView>) = views.filter { FrequentWatchers.contains(it.address, views) }

    /** Guards against calls to the store that grow with the fleet, and against selected instances that fail at once. */
    @Test
    fun `two instances of different failure domains are selected and replaced by two others`() {
        val views = (1..60).map { view(it, "d${it % 3}") }
        val first = selected(views)
        expectThat(first).hasSize(2)
        expectThat(first.map { it.row.failureDomain }.distinct()).hasSize(2)
        val replacements = selected(views - first.toSet())
        expectThat(replacements.map { it.row.failureDomain }.distinct()).hasSize(2)
        expectThat(replacements.filter { it in first }).isEmpty()
    }

    @Test
    fun `two instances of a single failure domain and one without peers are selected`() {
        expectThat(selected((1..9).map { view(it, "a") })).hasSize(2)
        expectThat(selected(listOf(view(1, "a"))).map { it.address }).isEqualTo(listOf(view(1, "a").address))
        expectThat(FrequentWatchers.contains(view(1, "a").address, listOf(view(2, "a")))).isFalse()
    }
}
