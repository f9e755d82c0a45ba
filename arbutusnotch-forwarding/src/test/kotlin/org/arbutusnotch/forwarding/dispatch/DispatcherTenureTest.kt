/*
 * Tests when an instance may order servers to change their stage.
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
    private var isDispatcher = true
    private var reachesMajority = true
    private val tenure = DispatcherTenure({ isDispatcher }, { reachesMajority })
    private var now = Timestamp(1_000_000)

    private fun advance(millis: Int) = repeat(millis / TICK_MILLIS) {
        now += TICK_MILLIS.milliseconds
        tenure.tick(listOf(pool), now)
    }

    @Test
    fun `uninterrupted dispatcher may order after the minimum tenure`() {
        advance(9_000)
        expectThat(tenure.mayOrder(pool, now)).isFalse()
        advance(1_200)
        expectThat(tenure.mayOrder(pool, now)).isTrue()
    }

    /** Guards against orders from a partitioned minority while the majority has its own dispatcher. */
    @Test
    fun `lost majority resets the tenure`() {
        advance(11_000)
        reachesMajority = false
        advance(100)
        reachesMajority = true
        advance(9_000)
        expectThat(tenure.mayOrder(pool, now)).isFalse()
    }

    @Test
    fun `change of the dispatcher resets the tenure`() {
        advance(11_000)
        isDispatcher = false
        advance(100)
        isDispatcher = true
        advance(100)
        expectThat(tenure.mayOrder(pool, now)).isFalse()
    }

    /** Guards against an instance that resumes after a pause and still considers itself the dispatcher. */
    @Test
    fun `paused process resets the tenure`() {
        advance(11_000)
        now += 3.seconds
        tenure.tick(listOf(pool), now)
        expectThat(tenure.mayOrder(pool, now)).isFalse()
    }

    private companion object {
        const val TICK_MILLIS = 50
    }
}
