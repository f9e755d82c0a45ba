/*
 * Tests the balance between prefill and decode servers, and which server switches its stage.
 */
package org.arbutusnotch.core.dispatch

import org.arbutusnotch.core.dispatch.DispatchFixture.Companion.server
import org.arbutusnotch.core.forwarding.EngineProfile
import org.arbutusnotch.core.forwarding.ServerStage
import org.arbutusnotch.core.message.DispatchWork
import org.arbutusnotch.core.message.HeldPlaces
import org.arbutusnotch.core.message.PlaceOutcome
import org.arbutusnotch.core.message.PlacePart
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.doesNotContain
import strikt.assertions.hasSize
import strikt.assertions.isEqualTo
import strikt.assertions.isNotEqualTo
import strikt.assertions.isNotNull
import strikt.assertions.isNull
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class StagePlanTest {
    private fun targetStage(prefill: Int, decode: Int) =
        StagePlan.targetStage(prefill, decode, prefillTime = 100.milliseconds, decodeTime = 320.milliseconds)

    /** Guards against idle prefill servers while decode servers are full, and against having no prefill server. */
    @Test
    fun `prefill servers beyond the balance are surplus`() {
        expectThat(targetStage(prefill = 3, decode = 3)).isEqualTo(ServerStage.DECODE)
        expectThat(targetStage(prefill = 2, decode = 4)).isNull()
        expectThat(targetStage(prefill = 3, decode = 1)).isEqualTo(ServerStage.DECODE)
        expectThat(targetStage(prefill = 1, decode = 1)).isNull()
        expectThat(targetStage(prefill = 12, decode = 30)).isNull()
    }

    /**
     * Guards against a pool that converts a prefill server while another server is briefly unavailable, and then loses
     * its last prefill server: an incident at cmn-dakar left none for three seconds of peak load.
     */
    @Test
    fun `pool of five or more servers keeps two prefill servers`() {
        val decodeTime = 600.milliseconds
        expectThat(StagePlan.targetStage(2, 3, prefillTime = 100.milliseconds, decodeTime = decodeTime)).isNull()
        expectThat(StagePlan.targetStage(3, 3, prefillTime = 100.milliseconds, decodeTime = decodeTime))
            .isEqualTo(ServerStage.DECODE)
    }

    /**
     * Guards against a pool that has permanently lost its prefill servers and prefills all prompts slowly on decode
     * servers (cmn-dakar trouble-1 after the replacement of its servers).
     */
    @Test
    fun `decode servers replace lost prefill servers`() {
        expectThat(targetStage(prefill = 0, decode = 5)).isEqualTo(ServerStage.PREFILL)
        expectThat(targetStage(prefill = 0, decode = 2)).isEqualTo(ServerStage.PREFILL)
        expectThat(targetStage(prefill = 0, decode = 1)).isNull()
        expectThat(targetStage(prefill = 1, decode = 11)).isEqualTo(ServerStage.PREFILL)
    }

    /** Guards against flapping: each switch of a server makes it unavailable for seconds. */
    @Test
    fun `switch is never followed by its opposite`() {
        for (total in 2..60) {
            for (prefill in 0..total) {
                val decode = total - prefill
                val after = when (targetStage(prefill, decode)) {
                    ServerStage.DECODE -> targetStage(prefill - 1, decode + 1) to ServerStage.PREFILL
                    ServerStage.PREFILL -> targetStage(prefill + 1, decode - 1) to ServerStage.DECODE
                    else -> null
                }
                if (after != null) expectThat(after.first).isNotEqualTo(after.second)
            }
        }
    }

    private fun fixture() = DispatchFixture(
        listOf("p", "q", "r").map { server(it, ServerStage.PREFILL, 16) } + server("d", ServerStage.DECODE, 16),
        EngineProfile(slots = 16, memoryTokens = 38_000),
    )

    private fun DispatchFixture.completeRuns(count: Int) = repeat(count) {
        val granted = submit(request(DispatchWork.Generation(3_000, 300), remaining = 14.seconds)).granted().single()
        if (granted.prefillServer != null) release(granted, PlacePart.PREFILL, elapsed = 100.milliseconds)
        release(granted, elapsed = 3.seconds)
        advance(1.seconds)
        dispatcher.reconcile(HeldPlaces(DispatchFixture.HOLDER, DispatchFixture.POOL, emptyList()), now)
    }

    /** Guards against stage changes before the demand of the requests is known. */
    @Test
    fun `no server switches before runs were observed`() {
        val fixture = fixture()
        fixture.completeRuns(5)
        expectThat(fixture.dispatcher.beginStageChange(6.seconds, fixture.now)).isNull()
    }

    /** Guards against several stage changes at once, which would leave a pool without servers in the meantime. */
    @Test
    fun `one server switches at a time and gets no prompts meanwhile`() {
        val fixture = fixture()
        fixture.completeRuns(20)
        val changed = fixture.dispatcher.beginStageChange(6.seconds, fixture.now)
        expectThat(changed).isNotNull().get { stage }.isEqualTo(ServerStage.DECODE)
        expectThat(fixture.dispatcher.beginStageChange(6.seconds, fixture.now)).isNull()
        repeat(4) {
            val request = fixture.request(DispatchWork.Generation(3_000, 300), remaining = 14.seconds)
            val granted = fixture.submit(request).granted().single()
            expectThat(granted.prefillServer == changed?.server?.id).isEqualTo(false)
        }
    }

    /** Guards against runs that a server rejects, after their prefill, because it is becoming a prefill server. */
    @Test
    fun `decode server that becomes a prefill server gets no more runs`() {
        val fixture = DispatchFixture(
            listOf("d", "e", "f").map { server(it, ServerStage.DECODE, 16) },
            EngineProfile(slots = 16, memoryTokens = 38_000),
        )
        fixture.completeRuns(20)
        val changed = fixture.dispatcher.beginStageChange(6.seconds, fixture.now)
        expectThat(changed).isNotNull().get { stage }.isEqualTo(ServerStage.PREFILL)
        val granted = (1..3).flatMap {
            fixture.advance(600.milliseconds)
            fixture.submit(fixture.request(DispatchWork.Generation(3_000, 300), remaining = 14.seconds)).granted()
        }
        expectThat(granted.map { it.server }).hasSize(3).doesNotContain(changed!!.server.id)
    }

    /** Guards against a server that stays unused after its switch until the maximum time for a switch has passed. */
    @Test
    fun `server is used as soon as its entry shows the new stage`() {
        val fixture = fixture()
        fixture.completeRuns(20)
        val changed = fixture.dispatcher.beginStageChange(6.seconds, fixture.now)!!.server
        val servers = listOf("p", "q", "r").map {
            server(it, if (changed.id.value == it) ServerStage.DECODE else ServerStage.PREFILL, 16)
        }
        fixture.dispatcher.configure(servers, EngineProfile(slots = 16, memoryTokens = 38_000))
        val request = fixture.request(DispatchWork.Generation(3_000, 300), remaining = 14.seconds)
        expectThat(fixture.submit(request).granted().single().server).isEqualTo(changed.id)
    }

    /**
     * Guards against a pool that waits for a crashed server to switch: a surplus prefill server stayed for ten seconds
     * of peak load (belfry-ops scale-2).
     */
    @Test
    fun `next server is chosen when an order could not be sent`() {
        val fixture = fixture()
        fixture.completeRuns(20)
        val crashedChange = fixture.dispatcher.beginStageChange(6.seconds, fixture.now)!!
        fixture.dispatcher.cancelStageChange(crashedChange, fixture.now)
        val next = fixture.dispatcher.beginStageChange(6.seconds, fixture.now)
        expectThat(next).isNotNull().get { server.id }.isNotEqualTo(crashedChange.server.id)
    }

    /** Guards against stage changes of servers that are known to be unreachable. */
    @Test
    fun `unreachable server is not chosen for a stage change`() {
        val fixture = fixture()
        fixture.completeRuns(20)
        val request = fixture.request(DispatchWork.Generation(3_000, 300), remaining = 14.seconds)
        val granted = fixture.submit(request).granted().single()
        fixture.release(granted, PlacePart.PREFILL, PlaceOutcome.UNREACHABLE)
        val ordered = fixture.dispatcher.beginStageChange(6.seconds, fixture.now)
        expectThat(ordered).isNotNull().get { server.id }.isNotEqualTo(granted.prefillServer)
    }
}
