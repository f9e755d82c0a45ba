/*
 * Explanations of a dispatcher's decisions, which must be those that it then takes, and must record nothing.
 */
package org.arbutusnotch.core.dispatch

import org.arbutusnotch.core.dispatch.DispatchFixture.Companion.server
import org.arbutusnotch.core.forwarding.EngineProfile
import org.arbutusnotch.core.forwarding.ServerStage
import org.arbutusnotch.core.id.BackendServerId
import org.arbutusnotch.core.message.DispatchWork
import org.arbutusnotch.core.message.PlaceOutcome
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class PlaceExplanationTest {
    private fun PlaceExplanation.reasons() = candidates.associate { it.server.id.value to it.reason }

    /** Guards against an explanation that differs from the decision, or that takes a place or a ticket. */
    @Test
    fun `explanation names the server that then gets the call`() {
        val fixture = DispatchFixture(listOf(server("a"), server("b"), server("c")))
        repeat(9) {
            val request = fixture.request(DispatchWork.Call)
            val explained = fixture.dispatcher.explain(request, fixture.now)
            expectThat(fixture.dispatcher.explain(request, fixture.now)).isEqualTo(explained)
            val granted = fixture.submit(request).granted().single()
            val selected = explained.candidates.filter { it.reason == CandidateReason.SELECTED_FOR_RUN }
            expectThat(selected.map { it.server.id }).isEqualTo(listOf(granted.server))
        }
        expectThat(fixture.dispatcher.placesInUse).isEqualTo(9)
    }

    /** Guards against a reason that does not apply to its server. */
    @Test
    fun `explanation gives the reason against each server`() {
        val fixture = DispatchFixture(listOf("a", "b", "c", "d").map { server(it, slots = 1) })
        val id = { name: String -> BackendServerId(name) }
        fixture.dispatcher.pause(id("a"), DispatchFixture.HOLDER, fixture.now + 2.seconds, fixture.now)
        val granted = (1..6).flatMap { fixture.submitCall() }.granted().groupBy { it.server }
        granted.getValue(id("b")).forEach { fixture.release(it) }
        granted.getValue(id("c")).forEach { fixture.release(it, outcome = PlaceOutcome.NOT_RUN) }
        val explained = fixture.dispatcher.explain(fixture.request(DispatchWork.Call), fixture.now)
        expectThat(explained.reasons()).isEqualTo(
            mapOf(
                "a" to CandidateReason.PAUSED,
                "b" to CandidateReason.SELECTED_FOR_RUN,
                "c" to CandidateReason.REJECTED_RECENTLY,
                "d" to CandidateReason.FULL,
            ),
        )
    }

    /** Guards against a position that ignores the order in which waiting requests get places. */
    @Test
    fun `explanation gives the position in the queue`() {
        val fixture = DispatchFixture(listOf(server("a", slots = 1)))
        repeat(4) { fixture.submitCall(objective = 300.milliseconds) }
        val last = fixture.dispatcher.explain(fixture.request(DispatchWork.Call), fixture.now)
        expectThat(last.decision).isEqualTo(ExplainedDecision.Wait(position = 2))
        val urgent = fixture.request(DispatchWork.Call, objective = 200.milliseconds)
        val first = fixture.dispatcher.explain(urgent, fixture.now)
        expectThat(first.decision).isEqualTo(ExplainedDecision.Wait(position = 0))
        expectThat(fixture.dispatcher.queueLength).isEqualTo(2)
    }

    /** Guards against another reason or retry time than the refusal gives. */
    @Test
    fun `explanation gives the refusal and its retry time`() {
        val fixture = DispatchFixture(listOf(server("a", slots = 1)))
        repeat(30) { fixture.submitCall() }
        val request = fixture.request(DispatchWork.Call, remaining = 100.milliseconds)
        val explained = fixture.dispatcher.explain(request, fixture.now).decision
        val refused = fixture.submit(request).refused().single()
        expectThat(explained).isA<ExplainedDecision.Refuse>()
            .isEqualTo(ExplainedDecision.Refuse(refused.reason, refused.retryAfter))
    }

    /** Guards against a generation of which only one of the two servers is explained. */
    @Test
    fun `explanation names the prefill server and the decode server`() {
        val servers = listOf("p1", "p2").map { server(it, ServerStage.PREFILL) } +
            listOf("d1", "d2").map { server(it, ServerStage.DECODE) }
        val fixture = DispatchFixture(servers, EngineProfile(slots = 8, memoryTokens = 40_000))
        val work = DispatchWork.Generation(promptTokens = 2_000, expectedOutputTokens = 100)
        repeat(3) {
            val request = fixture.request(work, objective = 2.seconds)
            val explained = fixture.dispatcher.explain(request, fixture.now)
            val granted = fixture.submit(request).granted().single()
            val other = { id: String -> if (id in listOf(granted.server.value, granted.prefillServer?.value)) 0 else 1 }
            val expected = servers.associate {
                val selected = if (it.stage == ServerStage.PREFILL) {
                    CandidateReason.SELECTED_FOR_PREFILL
                } else {
                    CandidateReason.SELECTED_FOR_RUN
                }
                it.id.value to if (other(it.id.value) == 0) selected else CandidateReason.OTHER_PREFERRED
            }
            expectThat(explained.reasons()).isEqualTo(expected)
        }
    }
}
