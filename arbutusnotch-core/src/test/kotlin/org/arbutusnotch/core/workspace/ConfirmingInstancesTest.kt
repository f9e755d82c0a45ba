/*
 * Tests which instances confirm the configuration.
 */
package org.arbutusnotch.core.workspace

import org.arbutusnotch.core.membership.InstanceView
import org.arbutusnotch.core.membership.viewOf
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isTrue

internal class ConfirmingInstancesTest {
    private fun confirming(views: List<InstanceView>) = views.filter { ConfirmingInstances.contains(it.address, views) }

    /** Guards against a domain whose instances have no confirmations once it is cut off. */
    @Test
    fun `two instances of each domain confirm, and others replace them`() {
        val views = (1..60).map { viewOf(it, "d${it % 3}") } + viewOf(61, "small")
        val selected = confirming(views)
        expectThat(selected.groupingBy { it.row.failureDomain.value }.eachCount())
            .isEqualTo(mapOf("d0" to 2, "d1" to 2, "d2" to 2, "small" to 1))
        expectThat(confirming(views - selected.toSet()).size).isEqualTo(6)
    }

    @Test
    fun `an instance that does not serve does not confirm`() {
        expectThat(ConfirmingInstances.contains(viewOf(1, "a").address, listOf(viewOf(2, "a")))).isFalse()
        expectThat(ConfirmingInstances.contains(viewOf(2, "a").address, listOf(viewOf(2, "a")))).isTrue()
    }
}
