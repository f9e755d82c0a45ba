/*
 * The idempotency token of a non-idempotent request: `<issuer prefix>.<caller key>`.
 *
 * The address in the prefix contains dots, so the caller key starts after the first dot that follows the start of the
 * last prefix field. Whether a token is malformed depends only on its text, so all instances agree on it.
 */
package org.arbutusnotch.core.token

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.map

/**
 * Combines the [prefix] that an entry instance returned with a [callerKey] chosen by the caller.
 *
 * @property callerKey 1 to [MAXIMUM_KEY_LENGTH] visible ASCII characters, which may include dots and underscores
 */
public data class IdempotencyToken(public val prefix: IssuerPrefix, public val callerKey: String) {
    /** Returns the text form. */
    public fun format(): String = "${prefix.format()}$KEY_SEPARATOR$callerKey"

    override fun toString(): String = format()

    public companion object {
        /** Maximum length of a caller key, in characters. */
        public const val MAXIMUM_KEY_LENGTH: Int = 200

        private const val KEY_SEPARATOR = '.'
        private const val SEPARATORS_IN_PREFIX = 5
        private val VISIBLE_ASCII = '!'..'~'

        /** Parses the text form. */
        public fun parse(text: String): Result<IdempotencyToken, TokenError> {
            if (!text.startsWith("${IssuerPrefix.VERSION}${IssuerPrefix.FIELD_SEPARATOR}")) {
                return Err(TokenError.UnknownVersion)
            }
            val lastField = startOfLastField(text) ?: return Err(TokenError.WrongFieldCount(fieldCount(text)))
            val separator = text.indexOf(KEY_SEPARATOR, lastField)
            if (separator < 0) return Err(TokenError.MissingCallerKey)
            val key = text.substring(separator + 1)
            if (key.length !in 1..MAXIMUM_KEY_LENGTH || key.any { it !in VISIBLE_ASCII }) {
                return Err(TokenError.InvalidCallerKey)
            }
            return IssuerPrefix.parse(text.substring(0, separator)).map { IdempotencyToken(it, key) }
        }

        private fun startOfLastField(text: String): Int? {
            val separators = text.indices.filter { text[it] == IssuerPrefix.FIELD_SEPARATOR }
            return separators.getOrNull(SEPARATORS_IN_PREFIX - 1)?.let { it + 1 }
        }

        private fun fieldCount(text: String): Int = text.count { it == IssuerPrefix.FIELD_SEPARATOR } + 1
    }
}
