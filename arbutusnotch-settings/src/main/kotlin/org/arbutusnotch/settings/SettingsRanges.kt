/*
 * Valid ranges of the numbers in settings files, and the formats of names and addresses.
 */
package org.arbutusnotch.settings

/** Size limit of a settings file; the platform does not store larger values. */
internal const val MAXIMUM_FILE_BYTES: Int = 1_000_000

internal object DaemonRanges {
    val INCARNATION: LongRange = 1L..Long.MAX_VALUE
    val HEADER_BYTES: IntRange = 1_024..1_048_576
    val BODY_BYTES: IntRange = 1_024..67_108_864
    val PROMPT_TOKENS: IntRange = 1..16_777_216
    val BODY_SECONDS: IntRange = 1..300
    val PERMIT_RECORDS: IntRange = 1..1_000_000
    val ANSWER_BYTES: IntRange = 0..1_048_576
    val WORKER_THREADS: IntRange = 1..64
    val DRAIN_SECONDS: IntRange = 1..3_600
    val TOKEN_SECONDS: IntRange = 1..600
}

internal object DeploymentRanges {
    val REVISION: LongRange = 1L..Long.MAX_VALUE
    val FIRST_TOKEN_MILLIS: IntRange = 1..600_000
    val BETWEEN_TOKENS_MILLIS: IntRange = 1..60_000
    val CONCURRENT_REQUESTS: IntRange = 1..1_000_000
    val PRIORITY: IntRange = 0..9
    val SLOTS: IntRange = 1..100_000
    val TIMEOUT_MILLIS: IntRange = 1..3_600_000
}

/** Describes the format that a string value must have. */
internal enum class StringFormat(val allowed: String, private val pattern: Regex) {
    /** Allows only characters that need no escaping in request paths, log lines and counters. */
    NAME("1 to 64 letters, digits, '.', '_' or '-', starting with a letter or digit", Regex(NAME_PATTERN)),
    SHA256("64 lower-case hexadecimal digits", Regex("[0-9a-f]{64}")),
    ADDRESS("an IPv4 address and a port from 1 to 65535, such as 127.0.0.1:8080", Regex(ADDRESS_PATTERN)) {
        override fun accepts(text: String): Boolean =
            super.accepts(text) && !text.startsWith("$UNSPECIFIED_ADDRESS:") && portOf(text) in PORTS
    }, ;

    open fun accepts(text: String): Boolean = pattern.matches(text)
}

private const val NAME_PATTERN = "[A-Za-z0-9][A-Za-z0-9._-]{0,63}"
private const val OCTET_PATTERN = "(25[0-5]|2[0-4][0-9]|1[0-9]{2}|[1-9]?[0-9])"
private const val ADDRESS_PATTERN = "($OCTET_PATTERN\\.){3}$OCTET_PATTERN:[1-9][0-9]{0,4}"

/** Rejected because other processes connect to the address, so it must identify one machine. */
private const val UNSPECIFIED_ADDRESS = "0.0.0.0"
private val PORTS = 1..65_535

private fun portOf(address: String): Int = address.substringAfterLast(':').toInt()
