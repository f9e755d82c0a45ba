/*
 * What a request has in common with other requests that may crash the same servers.
 */
package org.arbutusnotch.core.quarantine

import org.arbutusnotch.core.id.ContentDigest
import org.arbutusnotch.core.id.PromptPartId

/**
 * Lists what may be the reason if a server crashes while it executes a request.
 *
 * @property content digest of the whole request, which all attempts of its caller share
 * @property parts digests of the parts of its prompt that other requests may contain too
 */
public class Suspects private constructor(public val content: ContentDigest, public val parts: Set<ContentDigest>) {
    /** The content and the parts. */
    public val all: List<ContentDigest>
        get() = listOf(content) + parts

    public companion object {
        /** Maximum number of parts of one prompt that are tracked; callers choose how many a prompt has. */
        private const val MAXIMUM_PARTS = 32

        /** Maximum length of the id of a part; the ids of tracked parts are sent between instances. */
        private const val MAXIMUM_ID_CHARACTERS = 64
        private const val PART_PREFIX = "part:"

        /** Returns the suspects of a request with [content] whose prompt shares [parts] with other requests. */
        public fun of(content: ContentDigest, parts: List<PromptPartId> = emptyList()): Suspects =
            Suspects(content, parts.take(MAXIMUM_PARTS).map { digestOf(it) }.toSet())

        /** Returns the digest by which reports identify [part]; it differs from the digest of any content. */
        private fun digestOf(part: PromptPartId): ContentDigest =
            ContentDigest(PART_PREFIX + part.value.take(MAXIMUM_ID_CHARACTERS))

        /** Returns whether [digest] identifies a part of prompts rather than the content of a request. */
        public fun isPart(digest: ContentDigest): Boolean = digest.value.startsWith(PART_PREFIX)
    }
}
