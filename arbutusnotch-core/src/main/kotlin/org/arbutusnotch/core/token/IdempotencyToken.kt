/*
 * The idempotency token of a non-idempotent request: `<issuer prefix>.<caller key>`.
 *
 * The address in the prefix contains dots, so the caller key begins after the first dot behind the last field of the
 * prefix. Whether a token is malformed is a pure function of its text; every instance decides alike.
 */
package org.arbutusnotch.core.token

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.map

/**
 * Joins the [prefix] that an entry returned with the caller's own [callerKey].
 *
 * @property callerKey 1 to [MAXIMUM_KEY_LENGTH] visible ASCII characters, which may include dots and underscores
 */
public data class IdempotencyToken(public val prefix: IssuerPrefix, public val callerKey: String) {
    /** Returns the written form. */
    public fun format(): String = "${prefix.format()}$KEY_SEPARATOR$callerKey"

    override fun toString(): String = format()

    public companion object {
        /** Longest accepted caller key, in characters. */
        public const val MAXIMUM_KEY_LENGTH: Int = 200

        private const val KEY_SEPARATOR = '.'
        private const val SEPARATORS_IN_PREFIX = 5
        private val VISIBLE_ASCII = '!'..'~'

        /** Reads the written form. */
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
