package org.arbutusnotch.core.routing

import org.apache.commons.codec.digest.MurmurHash3
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.hasSize
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isNotEqualTo
import strikt.assertions.matches

/** Guards against digests that differ from those of the engines, with which every prefix would seem uncached. */
internal class PromptDigestsTest {
    private val block = "inspection log ".repeat(300).take(PromptDigests.BLOCK_CHARACTERS)

    private fun expectedDigest(text: String): String {
        val hash = MurmurHash3.hash128x64(text.toByteArray())
        return "%016x%016x".format(hash[0], hash[1])
    }

    @Test
    fun `the token count of a prompt is a quarter of its characters, rounded up`() {
        expectThat(PromptDigests.tokenCount("")).isEqualTo(0)
        expectThat(PromptDigests.tokenCount("abcd")).isEqualTo(1)
        expectThat(PromptDigests.tokenCount("abcde")).isEqualTo(2)
    }

    @Test
    fun `a prompt shorter than a block has no digest`() {
        expectThat(PromptDigests.prefixDigests(block.dropLast(1))).isEmpty()
    }

    @Test
    fun `each whole block adds a digest of the prompt up to the end of the block`() {
        val digests = PromptDigests.prefixDigests(block + block + "rest")
        expectThat(digests.map { it.value }).isEqualTo(listOf(expectedDigest(block), expectedDigest(block + block)))
        expectThat(digests.first().value).matches(Regex("[0-9a-f]{32}"))
    }

    @Test
    fun `multi-byte characters do not shift the end of a block`() {
        val prompt = "é" + block + block
        val digests = PromptDigests.prefixDigests(prompt)
        expectThat(digests).hasSize(2)
        expectThat(digests[0].value).isEqualTo(expectedDigest(prompt.take(PromptDigests.BLOCK_CHARACTERS)))
    }

    @Test
    fun `prompts that differ in the first block share no digest`() {
        val first = PromptDigests.prefixDigests(block + block)
        val second = PromptDigests.prefixDigests("x" + block.drop(1) + block)
        expectThat(first[0]).isNotEqualTo(second[0])
        expectThat(first[1]).isNotEqualTo(second[1])
    }
}
