/*
 * The deterministic output of the emulators, which the load generator recomputes to verify answers byte for byte.
 */
package org.arbutusnotch.testing.expected

import org.apache.commons.codec.digest.MurmurHash3

private const val CHARACTERS_PER_TOKEN = 4
private const val BLOCK_TOKENS = 1_024
private const val TOKEN_HASH_MASK = 0xFFFFFFL

/** Computes token counts, prefix digests, output tokens and service answers. */
public object ExpectedOutput {
    /** Number of prompt tokens in a block of the prefix cache and of engine memory. */
    public const val TOKENS_PER_BLOCK: Int = BLOCK_TOKENS

    /** Returns the number of tokens of [prompt]. */
    public fun promptTokens(prompt: String): Int = (prompt.length + CHARACTERS_PER_TOKEN - 1) / CHARACTERS_PER_TOKEN

    /** Returns the number of memory blocks that [tokens] tokens occupy. */
    public fun blocks(tokens: Int): Int = (tokens + BLOCK_TOKENS - 1) / BLOCK_TOKENS

    /** Returns the digest of the complete [prompt]. */
    public fun promptDigest(prompt: String): String = digest(prompt.encodeToByteArray())

    /** Returns the digests of the prefixes of [prompt] that consist of complete blocks, shortest prefix first. */
    public fun prefixDigests(prompt: String): List<String> {
        val blockCharacters = BLOCK_TOKENS * CHARACTERS_PER_TOKEN
        return (1..prompt.length / blockCharacters).map { promptDigest(prompt.substring(0, it * blockCharacters)) }
    }

    /** Returns output token [index] of the prompt with [promptDigest]. */
    public fun token(model: String, promptDigest: String, index: Int): String {
        val hash = MurmurHash3.hash128x64("$model/$promptDigest/$index".encodeToByteArray())[0]
        return " " + (hash and TOKEN_HASH_MASK).toString(Character.MAX_RADIX)
    }

    /** Returns the complete output for [prompt], which is [tokens] tokens long. */
    public fun text(model: String, prompt: String, tokens: Int): String {
        val digest = promptDigest(prompt)
        return (0 until tokens).joinToString("") { token(model, digest, it) }
    }

    /** Returns the answer of a plain service to a call of [operation] with [body]. */
    public fun serviceAnswer(operation: String, body: ByteArray): String =
        """{"operation":"$operation","request_digest":"${digest(body)}","accepted":true}"""

    private fun digest(bytes: ByteArray): String =
        MurmurHash3.hash128x64(bytes).joinToString("") { it.toULong().toString(HEX_RADIX).padStart(HEX_DIGITS, '0') }

    private const val HEX_RADIX = 16
    private const val HEX_DIGITS = 16
}
