/*
 * Tests which instances call the store more often than the others.
 */
package org.arbutusnotch.core.forwarding

import org.arbutusnotch.core.membership.InstanceView
import org.arbutusnotch.core.membership.viewOf
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.hasSize
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse

internal class FrequentWatchersTest {
    private fun selected(views: List<InstanceView>) = views.filter { FrequentWatchers.contains(it.address, views) }

    /** Guards against calls to the store that grow with the fleet, and against selected instances that fail at once. */
    @Test
    fun `two instances of different failure domains are selected and replaced by two others`() {
        val views = (1..60).map { viewOf(it, "d${it % 3}") }
        val first = selected(views)
        expectThat(first).hasSize(2)
        expectThat(first.map { it.row.failureDomain }.distinct()).hasSize(2)
        val replacements = selected(views - first.toSet())
        expectThat(replacements.map { it.row.failureDomain }.distinct()).hasSize(2)
        expectThat(replacements.filter { it in first }).isEmpty()
    }

    @Test
    fun `two instances of a single failure domain and one without peers are selected`() {
        expectThat(selected((1..9).map { viewOf(it, "a") })).hasSize(2)
        expectThat(selected(listOf(viewOf(1, "a"))).map { it.address }).isEqualTo(listOf(viewOf(1, "a").address))
        expectThat(FrequentWatchers.contains(viewOf(1, "a").address, listOf(viewOf(2, "a")))).isFalse()
    }
}
