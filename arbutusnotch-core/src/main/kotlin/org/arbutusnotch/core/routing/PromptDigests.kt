/*
 * Computes prompt prefix digests; the engines compute the same digests for the prefixes that they cache.
 */
package org.arbutusnotch.core.routing

import org.apache.commons.codec.digest.MurmurHash3
import org.arbutusnotch.core.id.ContentDigest
import java.util.HexFormat

/** Computes the size of a prompt in tokens and the digests of its prefixes. */
public object PromptDigests {
    /** Characters in one prefix block. */
    public const val BLOCK_CHARACTERS: Int = 4_096

    /** Tokens in one prefix block. */
    public const val BLOCK_TOKENS: Int = 1_024

    private const val CHARACTERS_PER_TOKEN = 4

    /** Maximum number of blocks hashed for a prompt, to bound the work; longer prefixes are not distinguished. */
    private const val MAXIMUM_BLOCK_COUNT = 64

    /** Returns the number of tokens of [prompt]: a quarter of its characters, rounded up. */
    public fun tokenCount(prompt: String): Int = (prompt.length + CHARACTERS_PER_TOKEN - 1) / CHARACTERS_PER_TOKEN

    /**
     * Returns the digests of the first 1, 2, 3, ... whole blocks of [prompt]: MurmurHash3 128 (x64, seed 0) of their
     * UTF-8 bytes in lower-case hexadecimal. Prompts shorter than one block have none.
     */
    public fun prefixDigests(prompt: String): List<ContentDigest> {
        val blocks = (prompt.length / BLOCK_CHARACTERS).coerceAtMost(MAXIMUM_BLOCK_COUNT)
        if (blocks == 0) return emptyList()
        val bytes = prompt.toByteArray()
        val singleByte = bytes.size == prompt.length
        return (1..blocks).map { block ->
            val length = block * BLOCK_CHARACTERS
            if (singleByte) digest(bytes, length) else digest(prompt.substring(0, length).toByteArray())
        }
    }

    private fun digest(bytes: ByteArray, length: Int = bytes.size): ContentDigest {
        val hash = MurmurHash3.hash128x64(bytes, 0, length, 0)
        val hex = HexFormat.of()
        return ContentDigest(hash.joinToString("") { hex.toHexDigits(it) })
    }
}
