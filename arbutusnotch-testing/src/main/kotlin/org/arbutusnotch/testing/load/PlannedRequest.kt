/*
 * Requests that a caller will send. Prompts are described, not stored: a plan of thousands of long prompts stays small.
 */
package org.arbutusnotch.testing.load

import java.util.SplittableRandom

/**
 * Describes a prompt: its first tokens are shared with other prompts of the same [prefixSeed], the rest is its own.
 *
 * @property tokens length of the whole prompt
 * @property marker text at the end of the prompt, by which a fault recognises it
 */
public data class PromptDescription(
    public val tokens: Int,
    public val seed: Long,
    public val prefixTokens: Int = 0,
    public val prefixSeed: Long = 0,
    public val marker: String = "",
) {
    /** Returns the text of the prompt; the same description always gives the same text. */
    public fun text(): String {
        val shared = logText(prefixSeed, prefixTokens * CHARACTERS_PER_TOKEN)
        val own = logText(seed, (tokens - prefixTokens) * CHARACTERS_PER_TOKEN - marker.length)
        return shared + own + marker
    }

    private fun logText(textSeed: Long, characters: Int): String {
        val random = SplittableRandom(textSeed)
        val text = StringBuilder(characters + LONGEST_WORD)
        while (text.length < characters) text.append(WORDS[random.nextInt(WORDS.size)]).append(random.nextInt(NUMBERS))
        return text.substring(0, characters.coerceAtLeast(0))
    }

    private companion object {
        const val CHARACTERS_PER_TOKEN = 4
        const val LONGEST_WORD = 32
        const val NUMBERS = 1_000
        val WORDS = listOf(
            " ladder ",
            " anchor ",
            " bell ",
            " harness ",
            " stair ",
            " crate ",
            " pallet ",
            " shelf ",
        )
    }
}

/** Is a request that a caller sends. */
public sealed interface PlannedRequest {
    public val caller: CallerProfile

    /** Name of the request's kind in reports. */
    public val kind: String

    /** Asks for [maxTokens] output tokens; [stream] selects server-sent events. */
    public data class Completion(
        override val caller: CallerProfile,
        override val kind: String,
        public val model: String,
        public val prompt: PromptDescription,
        public val maxTokens: Int,
        public val stream: Boolean = true,
    ) : PlannedRequest

    /** Calls [operation] of the plain service [service]. */
    public data class ServiceCall(
        override val caller: CallerProfile,
        override val kind: String,
        public val service: String,
        public val operation: String,
        public val idempotent: Boolean,
        public val body: String,
    ) : PlannedRequest
}
