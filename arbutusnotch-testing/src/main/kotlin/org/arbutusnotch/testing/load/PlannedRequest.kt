/*
 * Requests of a load plan. Prompts are generated from a description when sent, so that a plan with thousands of long
 * prompts needs little memory.
 */
package org.arbutusnotch.testing.load

import java.util.SplittableRandom

/**
 * Describes a prompt. All prompts with the same [prefixSeed] share their first [prefixTokens] tokens; the rest is drawn
 * from [seed].
 *
 * @property tokens length of the whole prompt, including the prefix
 * @property marker text at the end of the prompt by which an injected fault recognizes it
 */
public data class PromptDescription(
    public val tokens: Int,
    public val seed: Long,
    public val prefixTokens: Int = 0,
    public val prefixSeed: Long = 0,
    public val marker: String = "",
) {
    /** Returns the text of the prompt; equal descriptions give equal texts. */
    public fun text(): String {
        val shared = generateText(prefixSeed, prefixTokens * CHARACTERS_PER_TOKEN)
        val unique = generateText(seed, (tokens - prefixTokens) * CHARACTERS_PER_TOKEN - marker.length)
        return shared + unique + marker
    }

    private fun generateText(textSeed: Long, characters: Int): String {
        val random = SplittableRandom(textSeed)
        val text = StringBuilder(characters + LONGEST_WORD)
        while (text.length < characters) {
            text.append(WORDS[random.nextInt(WORDS.size)]).append(random.nextInt(NUMBER_BOUND))
        }
        return text.substring(0, characters.coerceAtLeast(0))
    }

    private companion object {
        const val CHARACTERS_PER_TOKEN = 4
        const val LONGEST_WORD = 32
        const val NUMBER_BOUND = 1_000
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

/** Represents a request that a caller sends. */
public sealed interface PlannedRequest {
    public val caller: CallerProfile

    /** Name of the kind of request in reports. */
    public val kind: String

    /** Requests a completion of [maxTokens] tokens; [stream] selects server-sent events. */
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
