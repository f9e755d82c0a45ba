/*
 * Arrivals at servers beyond the first of a request, which all instances together may make in limited number.
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

class RepeatedArrivalTest {
    private val open = mutableListOf<AutoCloseable>()

    @AfterEach
    fun close() = open.forEach { it.close() }

    /** Guards against prompts that are read again and again for servers that cannot be reached, beside the budget. */
    @Test
    fun `prompt is not read again when no repeat is left`() {
        val reader = ScriptedServer { answer(body = "handle-${request.header("id")}") }.also { open += it }
        val unreachable = (1..3).map { ScriptedServer { answer() }.apply { stopListening() } }
        val servers = unreachable.mapIndexed { index, server ->
            testServer("decode-$index", server.address, ServerStage.DECODE)
        } + testServer("prefill", reader.address, ServerStage.PREFILL)
        val fixture = InstanceFixture(servers = servers, retryAllowance = 0).also { open += it }
        val answer = fixture.call("/stream/x", "r", "tokens: 1000,50\r\n")
        expectThat(reader.requests.filter { it.header("part") == "prefill" }).hasSize(1)
        expectThat(answer?.status).isEqualTo(503)
        expectThat(answer?.header("X-Refusal-Reason")).isEqualTo("retry_budget")
    }
}
