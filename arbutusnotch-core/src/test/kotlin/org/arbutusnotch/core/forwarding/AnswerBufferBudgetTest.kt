/*
 * Tests how buffer memory is shared between normal answers and endless answers of faulty servers.
 */
package org.arbutusnotch.core.forwarding

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isTrue

class AnswerBufferBudgetTest {
    private val budget = AnswerBufferBudget(maximumBytes = 100)
    private val evicted = mutableListOf<String>()
    private val small = BufferedAnswer { evicted += "small" }
    private val large = BufferedAnswer { evicted += "large" }
    private val larger = BufferedAnswer { evicted += "larger" }

    /** Guards against endless answers that evict the small answers of healthy servers. */
    @Test
    fun `largest answer is evicted for a smaller one`() {
        budget.resize(large, 40)
        budget.resize(larger, 60)
        expectThat(budget.resize(small, 10)).isTrue()
        expectThat(evicted).containsExactly("larger")
        expectThat(budget.usedBytes).isEqualTo(50)
    }

    /** Guards against a growing answer that evicts all others. */
    @Test
    fun `answer that would be the largest is not buffered`() {
        budget.resize(small, 40)
        budget.resize(large, 50)
        expectThat(budget.resize(large, 61)).isFalse()
        expectThat(evicted).isEmpty()
        expectThat(budget.usedBytes).isEqualTo(40)
    }

    @Test
    fun `released memory is available again`() {
        budget.resize(large, 100)
        budget.release(large)
        budget.release(large)
        expectThat(budget.resize(small, 100)).isTrue()
        budget.resize(small, 0)
        expectThat(budget.usedBytes).isEqualTo(0)
    }
}
