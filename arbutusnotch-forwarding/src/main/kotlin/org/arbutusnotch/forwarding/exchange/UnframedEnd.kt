/*
 * Names what was found out about an answer whose end only the end of the connection marks.
 */
package org.arbutusnotch.forwarding.exchange

internal enum class UnframedEnd(val detail: String) {
    /** Nothing shows that the answer is incomplete. */
    INTACT("complete"),

    /** The server has crashed. */
    CRASHED("server crashed"),

    /** The server reset the connection, because it has not read the whole request or has given up the answer. */
    RESET("connection reset after the end of the answer"),
}
