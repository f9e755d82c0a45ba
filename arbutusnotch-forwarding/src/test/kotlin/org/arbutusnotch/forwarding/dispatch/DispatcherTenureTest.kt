/*
 * When an instance may give orders to servers.
 */
package org.arbutusnotch.forwarding.dispatch

import org.arbutusnotch.core.id.PoolId
import org.arbutusnotch.core.time.Timestamp
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isFalse
import strikt.assertions.isTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class DispatcherTenureTest {
    private val pool = PoolId("pool")
    private var dispatches = true
    private var majority = true
    private val tenure = DispatcherTenure({ dispatches }, { majority })
    private var now = Timestamp(1_000_000)

    private fun pass(millis: Int) = repeat(millis / STEP) {
        now += STEP.milliseconds
        tenure.tick(listOf(pool), now)
    }

    @Test
    fun `undisturbed dispatcher may order after its tenure`() {
        pass(9_000)
        expectThat(tenure.mayOrder(pool, now)).isFalse()
        pass(1_200)
        expectThat(tenure.mayOrder(pool, now)).isTrue()
    }

    /** Guards against orders of a minority that is cut off, while the others have a dispatcher of their own. */
    @Test
    fun `lost majority begins the tenure anew`() {
        pass(11_000)
        majority = false
        pass(100)
        majority = true
        pass(9_000)
        expectThat(tenure.mayOrder(pool, now)).isFalse()
    }

    @Test
    fun `change of the dispatcher begins the tenure anew`() {
        pass(11_000)
        dispatches = false
        pass(100)
        dispatches = true
        pass(100)
        expectThat(tenure.mayOrder(pool, now)).isFalse()
    }

    /** Guards against an instance that wakes up and goes on as the dispatcher that it was before. */
    @Test
    fun `pause begins the tenure anew`() {
        pass(11_000)
        now += 3.seconds
        tenure.tick(listOf(pool), now)
        expectThat(tenure.mayOrder(pool, now)).isFalse()
    }

    private companion object {
        const val STEP = 50
    }
}
