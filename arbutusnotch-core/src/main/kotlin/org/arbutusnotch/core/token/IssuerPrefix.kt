/*
 * The part of an idempotency token that identifies the issuer and the time until which it grants permits.
 *
 * Text form: `n1_<ip>_<port>_<incarnation>_<expiry epoch millis>_<random>`. Only the canonical
 * spelling of a number is accepted, so that two different spellings cannot name the same issuer.
 */
package org.arbutusnotch.core.token

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.binding
import com.github.michaelbull.result.toResultOr
import org.arbutusnotch.core.id.Incarnation
import org.arbutusnotch.core.id.InstanceAddress
import org.arbutusnotch.core.id.InstanceId
import org.arbutusnotch.core.time.Timestamp
import kotlin.random.Random
import kotlin.time.Duration

/**
 * Holds the [issuer] of a token and its [expiry].
 *
 * @property expiry time, on the issuer's clock, from which the issuer grants no permit
 * @property random lower-case letters and digits that distinguish prefixes of the same issuer and expiry
 */
public data class IssuerPrefix(
    public val issuer: InstanceId,
    public val expiry: Timestamp,
    public val random: String,
) {
    /** Returns the text form. */
    public fun format(): String {
        val address = issuer.address.value
        val ip = address.substringBeforeLast(':')
        val port = address.substringAfterLast(':')
        return listOf(VERSION, ip, port, issuer.incarnation, expiry, random).joinToString(FIELD_SEPARATOR.toString())
    }

    override fun toString(): String = format()

    public companion object {
        /** First field of every prefix. */
        public const val VERSION: String = "n1"

        /** Maximum length of the random part, in characters. */
        public const val MAXIMUM_RANDOM_LENGTH: Int = 32

        internal const val FIELD_SEPARATOR: Char = '_'
        private const val FIELD_COUNT = 6
        private const val MAXIMUM_PORT = 65_535L
        private const val RANDOM_LENGTH = 16
        private const val RANDOM_ALPHABET = "abcdefghijklmnopqrstuvwxyz0123456789"
        private const val IP_CHARACTERS = "0123456789abcdefABCDEF.:[]"
        private const val IP_FIELD = 1
        private const val PORT_FIELD = 2
        private const val INCARNATION_FIELD = 3
        private const val EXPIRY_FIELD = 4
        private const val RANDOM_FIELD = 5

        /** Creates a prefix for [issuer] that expires [lifetime] after [now]. */
        public fun create(issuer: InstanceId, now: Timestamp, lifetime: Duration, random: Random): IssuerPrefix {
            val suffix = String(CharArray(RANDOM_LENGTH) { RANDOM_ALPHABET.random(random) })
            return IssuerPrefix(issuer, now + lifetime, suffix)
        }

        /** Parses the text form. */
        public fun parse(text: String): Result<IssuerPrefix, TokenError> = binding {
            val fields = splitFields(text).bind()
            val address = parseAddress(fields[IP_FIELD], fields[PORT_FIELD]).bind()
            val incarnation = parseNumber("incarnation", fields[INCARNATION_FIELD]).bind()
            val expiry = parseNumber("expiry", fields[EXPIRY_FIELD]).bind()
            val random = parseRandom(fields[RANDOM_FIELD]).bind()
            IssuerPrefix(InstanceId(address, Incarnation(incarnation)), Timestamp(expiry), random)
        }

        private fun splitFields(text: String): Result<List<String>, TokenError> {
            val fields = text.split(FIELD_SEPARATOR)
            return when {
                fields.first() != VERSION -> Err(TokenError.UnknownVersion)
                fields.size != FIELD_COUNT -> Err(TokenError.WrongFieldCount(fields.size))
                else -> Ok(fields)
            }
        }

        private fun parseAddress(ip: String, port: String): Result<InstanceAddress, TokenError> = binding {
            if (ip.isEmpty() || ip.any { it !in IP_CHARACTERS }) Err(TokenError.InvalidField("ip")).bind()
            val number = parseNumber("port", port).bind()
            if (number !in 1..MAXIMUM_PORT) Err(TokenError.InvalidField("port")).bind()
            InstanceAddress("$ip:$number")
        }

        private fun parseRandom(text: String): Result<String, TokenError> {
            val valid = text.length in 1..MAXIMUM_RANDOM_LENGTH && text.all { it in RANDOM_ALPHABET }
            return if (valid) Ok(text) else Err(TokenError.InvalidField("random"))
        }

        private fun parseNumber(field: String, text: String): Result<Long, TokenError> = text.toLongOrNull()?.takeIf {
            it >= 0 && it.toString() == text
        }.toResultOr { TokenError.InvalidField(field) }
    }
}
