/*
 * The reasons why an idempotency token cannot be parsed.
 */
package org.arbutusnotch.core.token

/** Describes why a token is malformed. */
public sealed class TokenError {
    /** Error message for the caller. */
    public abstract val message: String

    /** The prefix does not begin with [IssuerPrefix.VERSION]. */
    public data object UnknownVersion : TokenError() {
        override val message: String = "the token does not begin with ${IssuerPrefix.VERSION}_"
    }

    /** The prefix has [found] fields. */
    public data class WrongFieldCount(public val found: Int) : TokenError() {
        override val message: String = "the issuer prefix has $found fields instead of 6"
    }

    /** The prefix field [field] has an invalid value. */
    public data class InvalidField(public val field: String) : TokenError() {
        override val message: String = "the field $field of the issuer prefix is not valid"
    }

    /** No dot follows the issuer prefix. */
    public data object MissingCallerKey : TokenError() {
        override val message: String = "the token has no caller key after the issuer prefix"
    }

    /** The caller key is empty, too long or contains characters other than visible ASCII. */
    public data object InvalidCallerKey : TokenError() {
        override val message: String =
            "the caller key must have 1 to ${IdempotencyToken.MAXIMUM_KEY_LENGTH} visible ASCII characters"
    }
}
