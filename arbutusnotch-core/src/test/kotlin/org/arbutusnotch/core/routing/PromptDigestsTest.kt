package org.arbutusnotch.core.routing

import org.apache.commons.codec.digest.MurmurHash3
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.hasSize
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isNotEqualTo
import strikt.assertions.matches

/** Guards against digests that differ from those of the engines, which would make every prefix look uncached. */
internal class PromptDigestsTest {
    private val piece = "inspection log ".repeat(300).take(PromptDigests.PIECE_CHARACTERS)

    private fun expected(text: String): String {
        val hash = MurmurHash3.hash128x64(text.toByteArray())
        return "%016x%016x".format(hash[0], hash[1])
    }

    @Test
    fun `a prompt has a quarter of its characters as tokens, rounded up`() {
        expectThat(PromptDigests.tokens("")).isEqualTo(0)
        expectThat(PromptDigests.tokens("abcd")).isEqualTo(1)
        expectThat(PromptDigests.tokens("abcde")).isEqualTo(2)
    }

    @Test
    fun `a prompt shorter than a piece has no digest`() {
        expectThat(PromptDigests.prefixes(piece.dropLast(1))).isEmpty()
    }

    @Test
    fun `each whole piece adds the digest of the prompt up to its end`() {
        val digests = PromptDigests.prefixes(piece + piece + "rest")
        expectThat(digests.map { it.value }).isEqualTo(listOf(expected(piece), expected(piece + piece)))
        expectThat(digests.first().value).matches(Regex("[0-9a-f]{32}"))
    }

    @Test
    fun `characters of several bytes do not shift the end of a piece`() {
        val prompt = "é" + piece + piece
        val digests = PromptDigests.prefixes(prompt)
        expectThat(digests).hasSize(2)
        expectThat(digests[0].value).isEqualTo(expected(prompt.take(PromptDigests.PIECE_CHARACTERS)))
    }

    @Test
    fun `prompts that differ in the first piece share no digest`() {
        val first = PromptDigests.prefixes(piece + piece)
        val second = PromptDigests.prefixes("x" + piece.drop(1) + piece)
        expectThat(first[0]).isNotEqualTo(second[0])
        expectThat(first[1]).isNotEqualTo(second[1])
    }
}
