/*
 * Tests how much work a dispatcher does for each event while its queue is long.
 */
package org.arbutusnotch.core.dispatch

import org.arbutusnotch.core.dispatch.DispatchFixture.Companion.server
import org.arbutusnotch.core.forwarding.EngineProfile
import org.arbutusnotch.core.forwarding.ServerStage
import org.arbutusnotch.core.id.Incarnation
import org.arbutusnotch.core.id.InstanceAddress
import org.arbutusnotch.core.id.InstanceId
import org.arbutusnotch.core.id.TicketId
import org.arbutusnotch.core.message.DispatchWork
import org.arbutusnotch.core.message.PlacePart
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.hasSize
import strikt.assertions.isGreaterThanOrEqualTo
import strikt.assertions.isLessThanOrEqualTo
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Guards against a dispatcher that visits every server several times for every waiting request at each event; a small
 * instance has a quarter of a core, on which a few thousand visits take a tenth of a millisecond.
 */
class DispatchCostTest {
    private val fixture = DispatchFixture(
        (1..8).map { server("p$it", ServerStage.PREFILL, 16) } + (1..32).map { server("d$it", ServerStage.DECODE, 16) },
        EngineProfile(slots = 16, memoryTokens = 10_000),
    )
    private val running = ArrayList<DispatchDecision.Granted>()
    private val prefilled = HashSet<TicketId>()

    init {
        while (fixture.dispatcher.queueLength < WAITING_REQUESTS) {
            running += submit().granted()
            running.toList().filter { prefilled.add(it.ticket) }.forEach {
                running += fixture.release(it, PlacePart.PREFILL).granted()
            }
        }
    }

    private fun submit(): List<DispatchDecision> {
        val number = fixture.dispatcher.queueLength
        val work = DispatchWork.Generation(promptTokens = 3_000, expectedOutputTokens = 50 + number % 40)
        val holder = InstanceId(InstanceAddress("127.0.0.1:${number % HOLDERS}"), Incarnation(1))
        return fixture.submit(
            fixture.request(work, objective = 900.milliseconds, remaining = 14.seconds, holder = holder),
        )
    }

    private fun visits(event: () -> List<DispatchDecision>): Int {
        val before = fixture.dispatcher.serverVisits
        event()
        return (fixture.dispatcher.serverVisits - before).toInt()
    }

    @Test
    fun `arrival at a full pool visits each server a few times`() {
        expectThat(visits { submit() }).isLessThanOrEqualTo(MAXIMUM_VISITS)
    }

    @Test
    fun `end of a run visits each server a few times`() {
        val decisions = ArrayList<DispatchDecision>()
        expectThat(visits { fixture.release(running.first(), elapsed = 3.seconds).also { decisions += it } })
            .isLessThanOrEqualTo(MAXIMUM_VISITS)
        expectThat(decisions.granted()).hasSize(1)
    }

    @Test
    fun `tick visits each server a few times`() {
        fixture.advance(20.milliseconds)
        expectThat(fixture.dispatcher.queueLength).isGreaterThanOrEqualTo(WAITING_REQUESTS)
        expectThat(visits { fixture.dispatcher.tick(fixture.now) }).isLessThanOrEqualTo(MAXIMUM_VISITS)
    }

    private companion object {
        const val WAITING_REQUESTS = 300
        const val HOLDERS = 100
        const val SERVERS = 40
        const val MAXIMUM_VISITS = 50 * SERVERS
    }
}
