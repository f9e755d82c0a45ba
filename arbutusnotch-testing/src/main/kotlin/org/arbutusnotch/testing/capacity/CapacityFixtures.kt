/*
 * Tables and requests of a given size for the capacity measurements.
 */
package org.arbutusnotch.testing.capacity

import org.arbutusnotch.core.configuration.ClientDefinition
import org.arbutusnotch.core.configuration.DeploymentConfiguration
import org.arbutusnotch.core.configuration.ModelDefinition
import org.arbutusnotch.core.configuration.PoolDefinition
import org.arbutusnotch.core.configuration.PoolKind
import org.arbutusnotch.core.configuration.ServerDefinition
import org.arbutusnotch.core.id.AttemptId
import org.arbutusnotch.core.id.BackendServerId
import org.arbutusnotch.core.id.ClientId
import org.arbutusnotch.core.id.ContentDigest
import org.arbutusnotch.core.id.FailureDomainId
import org.arbutusnotch.core.id.Incarnation
import org.arbutusnotch.core.id.InstanceAddress
import org.arbutusnotch.core.id.InstanceId
import org.arbutusnotch.core.id.ModelId
import org.arbutusnotch.core.id.PoolId
import org.arbutusnotch.core.id.RevisionNumber
import org.arbutusnotch.core.id.WorkspaceId
import org.arbutusnotch.core.membership.InstanceTable
import org.arbutusnotch.core.message.InstanceRow
import org.arbutusnotch.core.message.InstanceState
import org.arbutusnotch.core.message.PermitRequest
import org.arbutusnotch.core.message.ReservationKind
import org.arbutusnotch.core.message.ReserveRequest
import org.arbutusnotch.core.message.RevisionMark
import org.arbutusnotch.core.message.TokenKey
import org.arbutusnotch.core.permit.PermitTable
import org.arbutusnotch.core.time.Timestamp
import org.arbutusnotch.core.token.IdempotencyToken
import org.arbutusnotch.core.token.IssuerPrefix
import kotlin.random.Random
import kotlin.time.Duration.Companion.seconds

private const val FIRST_INCARNATION = 1_799_000_000_000
private const val SUBNET_SIZE = 250
private const val FAILURE_DOMAINS = 10
private const val MODELS = 10
private const val START_EPOCH_MILLIS = 1_800_000_000_000
private const val ANSWER_BYTES = 8_192
private const val REQUEST_DIGEST = "9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08"
internal val capacityStart = Timestamp(START_EPOCH_MILLIS)

private val TOKEN_LIFETIME = 60.seconds
private val REVISION = RevisionMark(RevisionNumber(2_600), ContentDigest(REQUEST_DIGEST))

/** Returns the row of the instance [number] with the counter [heartbeat]. */
internal fun capacityInstanceRow(number: Int, heartbeat: Long = 1): InstanceRow {
    val ip = "10.${number / SUBNET_SIZE}.0.${number % SUBNET_SIZE + 1}"
    return InstanceRow(
        instance = InstanceId(InstanceAddress("$ip:7002"), Incarnation(FIRST_INCARNATION + number)),
        entryAddress = "$ip:7001",
        operatorAddress = "$ip:7003",
        failureDomain = FailureDomainId("domain-${number % FAILURE_DOMAINS}"),
        state = InstanceState.SERVING,
        heartbeat = heartbeat,
        active = REVISION,
    )
}

/** Returns an instance table with [size] instances. */
internal fun capacityInstanceTable(size: Int): InstanceTable = InstanceTable(own = capacityInstanceRow(0)).apply {
    merge((1 until size).map { capacityInstanceRow(it) }, capacityStart)
}

/** Returns a configuration of 10 models with [servers] backend servers, half of them for decode. */
internal fun capacityConfiguration(servers: Int): DeploymentConfiguration {
    val pools = (0 until MODELS).flatMap { model ->
        listOf(
            PoolDefinition(PoolId("prefill-$model"), PoolKind.PREFILL),
            PoolDefinition(PoolId("decode-$model"), PoolKind.DECODE),
        )
    }
    return DeploymentConfiguration(
        revision = RevisionNumber(1),
        deployment = "capacity",
        clients = listOf(ClientDefinition(ClientId("client"))),
        models = (0 until MODELS).map {
            ModelDefinition(ModelId("model-$it"), PoolId("prefill-$it"), PoolId("decode-$it"))
        },
        pools = pools,
        servers = (0 until servers).map { number ->
            ServerDefinition(
                address = BackendServerId("10.200.${number / SUBNET_SIZE}.${number % SUBNET_SIZE + 1}:9000"),
                pool = pools[number % pools.size].name,
                failureDomain = FailureDomainId("domain-${number % FAILURE_DOMAINS}"),
                slots = 20,
            )
        },
    )
}

/** Returns the empty permit table of an issuer. */
internal fun capacityPermitTable(): PermitTable = PermitTable(
    self = capacityInstanceRow(0).instance,
    capacity = Int.MAX_VALUE,
    answerByteLimit = ANSWER_BYTES,
    maximumTokenLifetime = TOKEN_LIFETIME,
)

/** Returns the permit request for the idempotency token [number]. */
internal fun capacityPermitRequest(number: Int): PermitRequest {
    val prefix = IssuerPrefix.create(capacityInstanceRow(0).instance, capacityStart, TOKEN_LIFETIME, Random(number))
    return PermitRequest(
        key = TokenKey(
            client = ClientId("client"),
            workspace = WorkspaceId("workspace"),
            token = IdempotencyToken(prefix, "order-$number").format(),
        ),
        requestDigest = ContentDigest(REQUEST_DIGEST),
        holder = capacityInstanceRow(1).instance,
        attempt = AttemptId("${capacityInstanceRow(1).instance}/$number"),
        permitDeadline = capacityStart + 5.seconds,
    )
}

/** Returns the reservation request [number] for a decode slot of [server]. */
internal fun capacityReserveRequest(server: BackendServerId, number: Int): ReserveRequest = ReserveRequest(
    server = server,
    kind = ReservationKind.DECODE,
    attempt = AttemptId("${capacityInstanceRow(1).instance}/$number"),
    holder = capacityInstanceRow(1).instance,
    priority = 5,
    work = 300,
    startDeadline = capacityStart + 1.seconds,
    revision = RevisionNumber(1),
)
