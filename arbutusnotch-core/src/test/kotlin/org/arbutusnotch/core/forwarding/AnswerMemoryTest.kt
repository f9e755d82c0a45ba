/*
 * Sharing of memory between the answers of sound servers and of servers that do not end their answers.
 */
package org.arbutusnotch.core.forwarding

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isTrue

class AnswerMemoryTest {
    private val memory = AnswerMemory(maximumBytes = 100)
    private val givenUp = mutableListOf<String>()
    private val small = KeptAnswer { givenUp += "small" }
    private val large = KeptAnswer { givenUp += "large" }
    private val larger = KeptAnswer { givenUp += "larger" }

    /** Guards against endless answers that push out the small ones of sound servers. */
    @Test
    fun `largest answer is given up for a smaller one`() {
        memory.resize(large, 40)
        memory.resize(larger, 60)
        expectThat(memory.resize(small, 10)).isTrue()
        expectThat(givenUp).containsExactly("larger")
        expectThat(memory.usedBytes).isEqualTo(50)
    }

    /** Guards against an answer that keeps growing because it pushes out all others. */
    @Test
    fun `answer that would be the largest is not kept`() {
        memory.resize(small, 40)
        memory.resize(large, 50)
        expectThat(memory.resize(large, 61)).isFalse()
        expectThat(givenUp).isEmpty()
        expectThat(memory.usedBytes).isEqualTo(40)
    }

    @Test
    fun `freed memory is used again`() {
        memory.resize(large, 100)
        memory.forget(large)
        memory.forget(large)
        expectThat(memory.resize(small, 100)).isTrue()
        memory.resize(small, 0)
        expectThat(memory.usedBytes).isEqualTo(0)
    }
}
