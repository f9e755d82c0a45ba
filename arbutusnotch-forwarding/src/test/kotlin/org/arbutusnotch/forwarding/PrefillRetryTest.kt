/*
 * Repeated prefills of a request count against the retry budget that all instances share.
 */
package org.arbutusnotch.forwarding

import org.arbutusnotch.core.forwarding.ServerStage
import org.arbutusnotch.forwarding.fixture.InstanceFixture
import org.arbutusnotch.forwarding.fixture.ScriptedServer
import org.arbutusnotch.forwarding.fixture.testServer
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.hasSize
import strikt.assertions.isEqualTo

class PrefillRetryTest {
    private val resources = mutableListOf<AutoCloseable>()

    @AfterEach
    fun close() = resources.forEach { it.close() }

    /** Guards against prefills that are repeated for unreachable decode servers without counting as retries. */
    @Test
    fun `prefill is not repeated when the retry budget is spent`() {
        val prefillServer = ScriptedServer { answer(body = "handle-${request.header("id")}") }.also { resources += it }
        val unreachable = (1..3).map { ScriptedServer { answer() }.apply { stopListening() } }
        val servers = unreachable.mapIndexed { index, server ->
            testServer("decode-$index", server.address, ServerStage.DECODE)
        } + testServer("prefill", prefillServer.address, ServerStage.PREFILL)
        val fixture = InstanceFixture(servers = servers, retryAllowance = 0).also { resources += it }
        val answer = fixture.call("/stream/x", "r", "tokens: 1000,50\r\n")
        expectThat(prefillServer.requests.filter { it.header("part") == "prefill" }).hasSize(1)
        expectThat(answer?.status).isEqualTo(503)
        expectThat(answer?.header("X-Refusal-Reason")).isEqualTo("retry_budget")
    }
}
