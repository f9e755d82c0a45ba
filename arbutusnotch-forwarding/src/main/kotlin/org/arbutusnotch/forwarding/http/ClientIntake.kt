/*
 * The limits that all connections of clients of one instance share.
 */
package org.arbutusnotch.forwarding.http

import org.arbutusnotch.core.forwarding.RequestMemoryBudget
import org.arbutusnotch.core.time.Timestamp
import org.arbutusnotch.telemetry.Clock
import org.arbutusnotch.telemetry.EventLog
import kotlin.time.Duration.Companion.seconds

/** Describes why a client was rejected before its request was passed on. */
internal enum class ClientRejection {
    /** The memory for requests is spent. */
    MEMORY,

    /** The requests for one service hold their share of the memory. */
    SERVICE_MEMORY,

    /** The requests for one service hold their share of the connections. */
    SERVICE_CONNECTIONS,

    /** The number of open connections is at its bound. */
    CONNECTIONS,

    /** The client stopped in the middle of a request, or does not read its response. */
    STALLED,
    ;

    fun code(): String = name.lowercase()
}

/**
 * Holds the budget for the memory of requests and the turns in which they are decoded, and reports the rejections.
 *
 * @param turns decides when the instance decodes what clients have sent
 * @param count is called for each rejection
 */
internal class ClientIntake(
    val budget: RequestMemoryBudget,
    private val clock: Clock,
    val turns: ReadTurns = ReadTurns(),
    private val count: (ClientRejection) -> Unit,
) {
    private val log = EventLog("intake")
    private val unreported = LinkedHashMap<ClientRejection, Int>()
    private var nextReportAt = Timestamp(0)

    /** Counts a rejected client; a log line a second at most reports those since the previous line. */
    fun recordRejection(rejection: ClientRejection) {
        count(rejection)
        unreported.merge(rejection, 1, Int::plus)
        report()
    }

    /** Writes the log line if there is something to report and the previous one is old enough. */
    fun report() {
        val now = clock.now()
        if (unreported.isEmpty() || now < nextReportAt) return
        nextReportAt = now + REPORT_INTERVAL
        log.warn("clients_rejected") {
            unreported.forEach { (rejection, clients) -> field(rejection.code(), clients) }
            field("request_memory_bytes", budget.usedBytes)
        }
        unreported.clear()
    }

    private companion object {
        val REPORT_INTERVAL = 1.seconds
    }
}
