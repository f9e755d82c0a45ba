/*
 * Measures the cost of the control plane for one instance at several sizes: live heap bytes and processor time of its
 * tables, and the size of its messages. docs/CAPACITY.md is derived from these measurements.
 */
@file:OptIn(ExperimentalSerializationApi::class)

package org.arbutusnotch.testing.capacity

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.main
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.options.split
import com.github.ajalt.clikt.parameters.types.int
import com.github.michaelbull.result.Err
import com.github.michaelbull.result.getOrElse
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.cbor.Cbor
import org.arbutusnotch.core.configuration.ConfigurationErrors
import org.arbutusnotch.core.configuration.DeploymentConfiguration
import org.arbutusnotch.core.configuration.RevisionTable
import org.arbutusnotch.core.configuration.revisionReport
import org.arbutusnotch.core.id.BackendServerId
import org.arbutusnotch.core.id.ContentDigest
import org.arbutusnotch.core.id.FailureDomainId
import org.arbutusnotch.core.id.ModelId
import org.arbutusnotch.core.id.RevisionNumber
import org.arbutusnotch.core.membership.InstanceTable
import org.arbutusnotch.core.membership.SlotOwnership
import org.arbutusnotch.core.message.AttemptProgress
import org.arbutusnotch.core.message.Gossip
import org.arbutusnotch.core.message.PeerMessage
import org.arbutusnotch.core.message.PermitClose
import org.arbutusnotch.core.message.PermitReply
import org.arbutusnotch.core.message.PermitResult
import org.arbutusnotch.core.message.RecordedAnswer
import org.arbutusnotch.core.message.ReservationKind
import org.arbutusnotch.core.message.StreamReport
import org.arbutusnotch.core.reservation.ReservationTable
import org.arbutusnotch.core.routing.CompletionRequest
import org.arbutusnotch.core.routing.PrefixTable
import org.arbutusnotch.core.routing.Router
import org.arbutusnotch.core.routing.RoutingPolicy
import org.arbutusnotch.core.straggler.ServerTable
import org.arbutusnotch.settings.DeploymentConfigurationReader
import java.util.Locale
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds

/** Runs the measurements and prints their results. */
public fun main(arguments: Array<String>): Unit = CapacityProbe().main(arguments)

private class CapacityProbe : CliktCommand(name = "capacity") {
    private val instances by option("--instances", help = "Numbers of instances, separated by commas.")
        .int().split(",").default(listOf(20, 100, 330, 660))
    private val servers by option("--servers", help = "Numbers of backend servers.")
        .int().split(",").default(listOf(60, 200, 600, 1_200))
    private val records by option("--records", help = "Numbers of idempotency tokens on record.")
        .int().split(",").default(listOf(1_000, 5_000, 20_000))
    private val reservations by option("--reservations", help = "Numbers of reservations at an owner.")
        .int().split(",").default(listOf(20, 40, 80, 160))
    private val workspaces by option("--workspaces", help = "Numbers of workspaces in the operators' file.")
        .int().split(",").default(listOf(100, 500, 1_900))

    override fun help(context: Context): String =
        "Measures live bytes, processor time and message bytes of the control tables at several sizes."

    override fun run() {
        val measurements = instances.flatMap(::measureMembership) + servers.flatMap(::measurePlacement) +
            records.flatMap(::measurePermits) + reservations.flatMap(::measureReservations) +
            workspaces.flatMap(::measureConfiguration)
        echo("measure | size | value | unit")
        measurements.forEach { echo("${it.metric} | ${it.size} | ${round(it.value)} | ${it.unit}") }
        echo("slope of | at zero | per unit of size | unit")
        measurements.groupBy { it.metric }.values.filter { it.size > 1 }.map(LinearFit::of).forEach { fit ->
            echo("${fit.metric} | ${round(fit.intercept)} | ${round(fit.slope)} | ${fit.unit}")
        }
    }

    private fun measureMembership(size: Int): List<CapacityMeasurement> {
        val table = capacityInstanceTable(size)
        val revisions = RevisionTable { Err(ConfigurationErrors(emptyList())) }
        val message = gossipMessage(table)
        val bytes = encode(message)
        var heartbeat = 1L
        val mergeMicros = CapacityMeter.microsPerRun(GOSSIP_RUNS) {
            heartbeat += 1
            val rows = message.rows.map { it.copy(heartbeat = heartbeat) }
            table.merge(rows, capacityStart)
            table.mergeHeartbeats(message.heartbeats.map { it.copy(heartbeat = heartbeat) }, capacityStart)
            rows.forEach { row -> revisions.merge(row.instance.address, row.revisionReport) }
        }
        return listOf(
            CapacityMeasurement(
                "view of instances, live",
                size,
                CapacityMeter.liveBytes(COPIES) {
                    capacityInstanceTable(size)
                },
                BYTES,
            ),
            CapacityMeasurement("gossip message", size, bytes.size.toDouble(), BYTES),
            CapacityMeasurement(
                "gossip build and encode",
                size,
                CapacityMeter.microsPerRun(GOSSIP_RUNS) {
                    table.incrementHeartbeat()
                    encode(gossipMessage(table))
                },
                MICROS,
            ),
            CapacityMeasurement(
                "gossip decode",
                size,
                CapacityMeter.microsPerRun(GOSSIP_RUNS) {
                    decode(bytes)
                },
                MICROS,
            ),
            CapacityMeasurement("gossip merge", size, mergeMicros, MICROS),
            CapacityMeasurement(
                "view tick",
                size,
                CapacityMeter.microsPerRun(TICK_RUNS) {
                    table.tick(capacityStart)
                },
                MICROS,
            ),
            CapacityMeasurement(
                "slot owner of one server",
                size,
                ownerMicros(table.live().map { it.instance }),
                MICROS,
            ),
        )
    }

    private fun gossipMessage(table: InstanceTable): Gossip =
        Gossip(sender = table.self, rows = table.rowsToSend(), heartbeats = table.heartbeatsToSend())

    private fun ownerMicros(live: List<org.arbutusnotch.core.id.InstanceId>): Double =
        CapacityMeter.microsPerRun(OWNER_RUNS) { SlotOwnership.ownerOf(BackendServerId("10.200.0.$it:9000"), live) }

    private fun measurePlacement(size: Int): List<CapacityMeasurement> {
        val configuration = capacityConfiguration(size)
        val table = ServerTable().apply { configure(configuration) }
        val prefixes = PrefixTable()
        val router = Router(RoutingPolicy.Predictive, FailureDomainId("domain-0"), Random(1), table, prefixes)
        router.configure(configuration)
        configuration.servers.forEach { table.observeTokens(it.address, 1, 20.milliseconds, capacityStart) }
        val request = CompletionRequest(
            model = ModelId("model-1"),
            prefixDigests = (1..PROMPT_BLOCKS).map { ContentDigest("prefix-$it") },
            promptTokens = PROMPT_TOKENS,
            maxTokens = OUTPUT_TOKENS,
            priority = 5,
            firstTokenDeadline = capacityStart + 320.milliseconds,
        )
        return listOf(
            CapacityMeasurement(
                "table of servers, live",
                size,
                CapacityMeter.liveBytes(COPIES) {
                    ServerTable().apply { configure(configuration) }
                },
                BYTES,
            ),
            CapacityMeasurement(
                "server tick",
                size,
                CapacityMeter.microsPerRun(TICK_RUNS) {
                    table.tick(capacityStart)
                },
                MICROS,
            ),
            CapacityMeasurement(
                "placement of a completion",
                size,
                CapacityMeter.microsPerRun(PLACEMENT_RUNS) {
                    router.placeCompletion(request, capacityStart)
                },
                MICROS,
            ),
        )
    }

    private fun measurePermits(size: Int): List<CapacityMeasurement> {
        val requests = (0 until size).map(::capacityPermitRequest)
        val answer = RecordedAnswer(HTTP_OK, "application/json", ByteArray(RECORDED_ANSWER_BYTES))
        val createTable = {
            capacityPermitTable().apply {
                requests.forEach { request ->
                    val granted = request(request, capacityStart) as PermitReply.Granted
                    val result = PermitResult.Answered(
                        RecordedAnswer(HTTP_OK, "application/json", answer.body.copyOf()),
                    )
                    close(PermitClose(request.key, request.attempt, granted.permit, result), capacityStart)
                }
            }
        }
        val table = createTable()
        val micros = CapacityMeter.microsPerRun(PERMIT_RUNS) { table.request(requests[it % size], capacityStart) }
        return listOf(
            CapacityMeasurement(
                "permit records, live",
                size,
                CapacityMeter.liveBytes(PERMIT_COPIES) {
                    createTable()
                },
                BYTES,
            ),
            CapacityMeasurement("permit request", size, micros, MICROS),
            CapacityMeasurement("permit request message", size, encode(requests.first()).size.toDouble(), BYTES),
        )
    }

    private fun measureReservations(size: Int): List<CapacityMeasurement> {
        val configuration = capacityConfiguration(size / SLOTS_PER_SERVER)
        val table = ReservationTable()
        table.configure(configuration, capacityStart)
        val addresses = configuration.servers.filter { "decode" in it.pool.value }.map { it.address }
        val requests = (0 until size).map {
            capacityReserveRequest(addresses[it % addresses.size.coerceAtLeast(1)], it)
        }
        requests.forEach { table.reserve(it, capacityStart) }
        val progress = AttemptProgress(
            attempt = requests.first().attempt,
            kind = ReservationKind.DECODE,
            tokens = 10,
            elapsedMicros = 200_000,
            priority = 5,
            work = OUTPUT_TOKENS,
        )
        val report = StreamReport(requests.first().server, requests.first().holder, listOf(progress))
        return listOf(
            CapacityMeasurement(
                "reserve and release",
                size,
                CapacityMeter.microsPerRun(RESERVE_RUNS) {
                    val request = capacityReserveRequest(requests.first().server, size + it)
                    table.reserve(request, capacityStart)
                    table.release(request.server, request.attempt, capacityStart)
                },
                MICROS,
            ),
            CapacityMeasurement(
                "stream report",
                size,
                CapacityMeter.microsPerRun(RESERVE_RUNS) {
                    table.report(report, capacityStart)
                },
                MICROS,
            ),
            CapacityMeasurement("reserve message", size, encode(requests.first()).size.toDouble(), BYTES),
            CapacityMeasurement("stream report message", size, encode(report).size.toDouble(), BYTES),
            CapacityMeasurement(
                "reservation tick",
                size,
                CapacityMeter.microsPerRun(TICK_RUNS) {
                    table.tick(capacityStart)
                },
                MICROS,
            ),
        )
    }

    private fun measureConfiguration(size: Int): List<CapacityMeasurement> {
        val bytes = operatorsFile(size)
        val parseMicros = CapacityMeter.microsPerRun(PARSE_RUNS) { parse(bytes) }
        val liveBytes = CapacityMeter.liveBytes(COPIES) {
            checkNotNull(DeploymentConfigurationReader.read(bytes, "capacity"))
        }
        return listOf(
            CapacityMeasurement("operators' file", size, bytes.size.toDouble(), BYTES),
            CapacityMeasurement("operators' file, parse", size, parseMicros, MICROS),
            CapacityMeasurement("operators' file, live", size, liveBytes, BYTES),
        )
    }

    private fun parse(bytes: ByteArray): DeploymentConfiguration = DeploymentConfigurationReader.read(bytes, "capacity")
        .getOrElse { errors -> error("the generated operators' file is not valid: ${errors.first()}") }

    /** Returns an operators' file with [workspaces] workspaces that have one caller each. */
    private fun operatorsFile(workspaces: Int): ByteArray = buildString {
        appendLine("revision = 1\ndeployment = \"capacity\"")
        appendLine("[[clients]]\nname = \"client\"\nconcurrent_requests = 4000")
        repeat(workspaces) { number ->
            appendLine("[[workspaces]]\nname = \"workspace-$number\"\nclient = \"client\"")
            val key = number.toString().padStart(KEY_DIGITS, '0')
            appendLine("[[callers]]\nname = \"caller-$number\"\nworkspace = \"workspace-$number\"")
            appendLine("priority = 5\nkey_sha256 = \"$key\"")
        }
        appendLine("[[pools]]\nname = \"orders\"\nkind = \"service\"")
        appendLine(
            "[[servers]]\naddress = \"127.0.0.1:9000\"\npool = \"orders\"\nfailure_domain = \"domain-1\"\nslots = 20",
        )
        appendLine("[[services]]\nname = \"orders\"\npool = \"orders\"")
        appendLine("[[services.operations]]\nname = \"book\"\nidempotent = false\ntimeout_millis = 5000")
    }.encodeToByteArray()

    private fun encode(message: PeerMessage): ByteArray = Cbor.encodeToByteArray(PeerMessage.serializer(), message)

    private fun decode(bytes: ByteArray): PeerMessage = Cbor.decodeFromByteArray(PeerMessage.serializer(), bytes)

    private fun round(value: Double): String = String.format(Locale.ROOT, "%.2f", value)

    private companion object {
        const val BYTES = "bytes"
        const val MICROS = "microseconds"
        const val COPIES = 60
        const val PERMIT_COPIES = 4
        const val GOSSIP_RUNS = 300
        const val TICK_RUNS = 2_000
        const val OWNER_RUNS = 200
        const val PLACEMENT_RUNS = 500
        const val PERMIT_RUNS = 20_000
        const val RESERVE_RUNS = 5_000
        const val PARSE_RUNS = 5
        const val SLOTS_PER_SERVER = 10
        const val PROMPT_BLOCKS = 8
        const val PROMPT_TOKENS = 8_192
        const val OUTPUT_TOKENS = 300
        const val RECORDED_ANSWER_BYTES = 512
        const val KEY_DIGITS = 64
        const val HTTP_OK = 200
    }
}
