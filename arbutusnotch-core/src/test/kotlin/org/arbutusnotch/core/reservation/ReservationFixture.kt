/*
 * A reservation table for one configured deployment, with helpers for its operations.
 */
package org.arbutusnotch.core.reservation

import org.arbutusnotch.core.configuration.DeploymentConfiguration
import org.arbutusnotch.core.fixture.REVISION
import org.arbutusnotch.core.fixture.START
import org.arbutusnotch.core.fixture.decodeServer
import org.arbutusnotch.core.fixture.deployment
import org.arbutusnotch.core.fixture.instance
import org.arbutusnotch.core.id.AttemptId
import org.arbutusnotch.core.id.BackendServerId
import org.arbutusnotch.core.id.InstanceId
import org.arbutusnotch.core.message.AttemptProgress
import org.arbutusnotch.core.message.ReservationKind
import org.arbutusnotch.core.message.ReserveRequest
import org.arbutusnotch.core.message.StreamReport
import org.arbutusnotch.core.time.Timestamp
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

internal class ReservationFixture(
    configuration: DeploymentConfiguration = deployment(slots = 4),
    val server: BackendServerId = decodeServer(0),
    val kind: ReservationKind = ReservationKind.DECODE,
) {
    val table = ReservationTable().apply { configure(configuration, START) }
    var now: Timestamp = START

    fun request(
        attempt: String,
        priority: Int = 0,
        maximumWait: Duration = 100.milliseconds,
        work: Int = 100,
        holder: InstanceId = instance(1),
        lastResort: Boolean = false,
    ) = ReserveRequest(
        server,
        kind,
        AttemptId(attempt),
        holder,
        priority,
        work,
        startDeadline = now + maximumWait,
        REVISION,
        lastResort,
    )

    fun reserve(
        attempt: String,
        priority: Int = 0,
        maximumWait: Duration = 100.milliseconds,
        work: Int = 100,
        holder: InstanceId = instance(1),
    ): ReservationDecision = table.reserve(request(attempt, priority, maximumWait, work, holder), now)

    fun release(attempt: String): List<ReservationDecision> = table.release(server, AttemptId(attempt), now)

    fun report(
        vararg attempts: String,
        holder: InstanceId = instance(1),
        finished: Boolean = false,
        tokens: Int = 0,
        elapsed: Duration = Duration.ZERO,
    ): ReportResult {
        val progress = attempts.map {
            AttemptProgress(AttemptId(it), kind, tokens, elapsed.inWholeMicroseconds, 0, 100, finished)
        }
        return table.report(StreamReport(server, holder, progress), now)
    }

    fun advance(duration: Duration): List<ReservationDecision> {
        now += duration
        return table.tick(now)
    }

    fun reservedAttempts(): List<String> = table.reservations(server).map { it.attempt.value }

    fun queuedAttempts(): List<String> = table.queued(server).map { it.value }

    fun freeSlots(): Int = checkNotNull(table.summary(server, now)).freeSlots
}

internal fun List<ReservationDecision>.granted(): List<String> =
    filterIsInstance<ReservationDecision.Granted>().map { it.attempt.value }

internal fun List<ReservationDecision>.refused(): List<String> =
    filterIsInstance<ReservationDecision.Refused>().map { it.attempt.value }
