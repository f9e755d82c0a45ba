/*
 * Tests the configuration that a valid operators' file gives.
 */
package org.arbutusnotch.settings

import org.arbutusnotch.core.configuration.CallerDefinition
import org.arbutusnotch.core.configuration.ClientDefinition
import org.arbutusnotch.core.configuration.DeploymentConfiguration
import org.arbutusnotch.core.configuration.LatencyTargets
import org.arbutusnotch.core.configuration.ModelDefinition
import org.arbutusnotch.core.configuration.OperationDefinition
import org.arbutusnotch.core.configuration.PoolDefinition
import org.arbutusnotch.core.configuration.PoolKind
import org.arbutusnotch.core.configuration.ServerDefinition
import org.arbutusnotch.core.configuration.ServerState
import org.arbutusnotch.core.configuration.ServiceDefinition
import org.arbutusnotch.core.configuration.WorkspaceDefinition
import org.arbutusnotch.core.id.BackendServerId
import org.arbutusnotch.core.id.ClientId
import org.arbutusnotch.core.id.ContentDigest
import org.arbutusnotch.core.id.FailureDomainId
import org.arbutusnotch.core.id.ModelId
import org.arbutusnotch.core.id.PoolId
import org.arbutusnotch.core.id.RevisionNumber
import org.arbutusnotch.core.id.WorkspaceId
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import kotlin.time.Duration.Companion.milliseconds

class OperatorsFileTest {
    /** Guards against a key that is read into the wrong field, or that is accepted and then ignored. */
    @Test
    fun `every key sets its field`() {
        val expected = DeploymentConfiguration(
            revision = RevisionNumber(7),
            deployment = "tower",
            targets = LatencyTargets(320.milliseconds, 26.milliseconds),
            clients = listOf(ClientDefinition(ClientId("climbs"), 50)),
            workspaces = listOf(WorkspaceDefinition(WorkspaceId("harbour"), ClientId("climbs"))),
            callers = listOf(CallerDefinition("guides", WorkspaceId("harbour"), 9, ContentDigest(GUIDES_DIGEST))),
            models = listOf(ModelDefinition(ModelId("briefing"), PoolId("reading"), PoolId("writing"))),
            pools = listOf(
                PoolDefinition(PoolId("reading"), PoolKind.PREFILL),
                PoolDefinition(PoolId("writing"), PoolKind.DECODE),
                PoolDefinition(PoolId("desk"), PoolKind.SERVICE),
            ),
            servers = listOf(
                server("127.0.0.1:9001", "reading", "east-a", 4, fencing = true),
                server("127.0.0.1:9002", "writing", "east-b", 20, state = ServerState.LEAVING),
                server("127.0.0.1:9003", "desk", "east-a", 32),
            ),
            services = listOf(
                ServiceDefinition(
                    name = "booking",
                    pool = PoolId("desk"),
                    operations = listOf(
                        OperationDefinition("book", idempotent = false, timeout = 5_000.milliseconds),
                        OperationDefinition("lookup", idempotent = true, timeout = 1_000.milliseconds),
                    ),
                ),
            ),
        )
        expectThat(deploymentOf(VALID_OPERATORS_FILE)).isEqualTo(expected)
    }

    /** Guards against a default of the reader that differs from that of the configuration type. */
    @Test
    fun `optional keys have the defaults of the configuration type`() {
        val text = VALID_OPERATORS_FILE
            .change("[targets]\nfirst_token_millis = 320\nbetween_tokens_millis = 26\n", "")
            .change("concurrent_requests = 50\n", "")
        val configuration = deploymentOf(text)
        expectThat(configuration?.targets).isEqualTo(LatencyTargets())
        expectThat(configuration?.clients).isEqualTo(listOf(ClientDefinition(ClientId("climbs"))))
    }

    private fun server(
        address: String,
        pool: String,
        domain: String,
        slots: Int,
        fencing: Boolean = false,
        state: ServerState = ServerState.LIVE,
    ) = ServerDefinition(BackendServerId(address), PoolId(pool), FailureDomainId(domain), slots, fencing, state)

    private companion object {
        const val GUIDES_DIGEST = "ca177a48a0b2dc5a019a9376f45780bb3ceeae2c828e9d1648bdcaeca7cce641"
    }
}
