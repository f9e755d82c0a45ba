/*
 * Guards against an uneven distribution of keys, and against keys that move although their node remains.
 */
package org.arbutusnotch.core.membership

import org.arbutusnotch.core.id.BackendServerId
import org.arbutusnotch.core.id.Incarnation
import org.arbutusnotch.core.id.InstanceId
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.all
import strikt.assertions.isEqualTo
import strikt.assertions.isIn
import strikt.assertions.isNull

internal class RendezvousHashTest {
    private val nodes = (1..20).map { "node-$it" }
    private val keys = (1..10_000).map { "key-$it" }

    @Test
    fun `keys are distributed evenly over the nodes`() {
        val shares = keys.groupingBy { select(it, nodes) }.eachCount()
        expectThat(nodes.map { shares[it] ?: 0 }).all { isIn(400..600) }
    }

    @Test
    fun `only the keys of a removed node move`() {
        val remaining = nodes - "node-7"
        val moved = keys.filter { select(it, nodes) != select(it, remaining) }
        expectThat(moved).isEqualTo(keys.filter { select(it, nodes) == "node-7" })
    }

    @Test
    fun `the input order of the nodes is irrelevant and the first ordered node is selected`() {
        keys.take(100).forEach { key ->
            expectThat(select(key, nodes.reversed())).isEqualTo(select(key, nodes))
            expectThat(RendezvousHash.order(key, nodes) { it }.first()).isEqualTo(select(key, nodes))
        }
    }

    @Test
    fun `a restarted instance remains the owner of its backend servers`() {
        val before = (1..5).map { InstanceId(addressOf(it), Incarnation(1)) }
        val after = before.map { it.copy(incarnation = Incarnation(2)) }
        (1..100).map { BackendServerId("10.1.0.$it:80") }.forEach {
            val owner = SlotOwnership.ownerOf(it, before)?.address
            expectThat(SlotOwnership.ownerOf(it, after)?.address).isEqualTo(owner)
        }
    }

    @Test
    fun `no owner is selected when there are no instances`() {
        expectThat(SlotOwnership.ownerOf(BackendServerId("10.1.0.1:80"), emptyList())).isNull()
    }

    private fun select(key: String, nodes: List<String>) = RendezvousHash.select(key, nodes) { it }
}
