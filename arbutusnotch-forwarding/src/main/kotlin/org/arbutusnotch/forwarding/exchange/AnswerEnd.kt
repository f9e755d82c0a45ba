/*
 * Names what ends an answer before it is complete.
 */
package org.arbutusnotch.forwarding.exchange

/** What ended a started answer that is not complete. */
internal enum class AnswerEnd {
    /** The server closed its connection, or what it sent cannot continue the answer. */
    SERVER,

    /** The caller closed its connection. */
    CALLER,

    /** The deadline of the request has passed, which a shutdown brings forward. */
    DEADLINE,

    /** The server sent no event for too long while its connection was open. */
    SILENCE,

    /** No server was found to continue the answer. */
    NO_PLACE,

    /** The answer exceeds a memory limit of the instance. */
    LIMIT,
}

internal fun AnswerEnd.code(): String = name.lowercase()
