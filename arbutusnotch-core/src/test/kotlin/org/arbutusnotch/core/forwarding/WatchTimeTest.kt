/*
 * Tests for how long a call to the store waits.
 */
package org.arbutusnotch.core.forwarding

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThanOrEqualTo
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class WatchTimeTest {
    /** Guards against lost answers that an instance without peers notices only after many seconds. */
    @Test
    fun `instance without peers waits briefly`() {
        expectThat(WatchTime.of(instances = 1)).isEqualTo(1_500.milliseconds)
    }

    /** Guards against calls to the store that grow with the number of instances. */
    @Test
    fun `all instances together make one call a second at most until the wait is at its longest`() {
        for (instances in 1..20) {
            expectThat(instances / (WatchTime.of(instances) / 1.seconds)).isLessThanOrEqualTo(1.0)
        }
        expectThat(WatchTime.of(instances = 330)).isEqualTo(20.seconds)
    }
}
