/*
 * The digests by which cached prompt prefixes are compared, as engines compute them.
 */
package org.arbutusnotch.core.routing

import org.apache.commons.codec.digest.MurmurHash3
import org.arbutusnotch.core.id.ContentDigest
import java.util.HexFormat

/** Computes the size of a prompt in tokens and the digests of its prefixes. */
public object PromptDigests {
    /** Characters of one prefix piece. */
    public const val PIECE_CHARACTERS: Int = 4_096

    /** Tokens of one prefix piece. */
    public const val PIECE_TOKENS: Int = 1_024

    private const val CHARACTERS_PER_TOKEN = 4

    /** Prefixes beyond this number are not distinguished, which bounds the work for one prompt. */
    private const val LARGEST_PIECE_COUNT = 64

    /** Returns the number of tokens of [prompt]: a quarter of its characters, rounded up. */
    public fun tokens(prompt: String): Int = (prompt.length + CHARACTERS_PER_TOKEN - 1) / CHARACTERS_PER_TOKEN

    /**
     * Returns the digests of the first 1, 2, 3, ... whole pieces of [prompt]: MurmurHash3 128 (x64, seed 0) of their
     * UTF-8 bytes in lower-case hexadecimal. Prompts shorter than a piece have none.
     */
    public fun prefixes(prompt: String): List<ContentDigest> {
        val pieces = (prompt.length / PIECE_CHARACTERS).coerceAtMost(LARGEST_PIECE_COUNT)
        if (pieces == 0) return emptyList()
        val bytes = prompt.toByteArray()
        val singleByte = bytes.size == prompt.length
        return (1..pieces).map { piece ->
            val length = piece * PIECE_CHARACTERS
            if (singleByte) digest(bytes, length) else digest(prompt.substring(0, length).toByteArray())
        }
    }

    private fun digest(bytes: ByteArray, length: Int = bytes.size): ContentDigest {
        val hash = MurmurHash3.hash128x64(bytes, 0, length, 0)
        val hex = HexFormat.of()
        return ContentDigest(hash.joinToString("") { hex.toHexDigits(it) })
    }
}
