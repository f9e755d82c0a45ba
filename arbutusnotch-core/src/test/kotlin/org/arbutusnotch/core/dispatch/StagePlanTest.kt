/*
 * How many servers read prompts, and which one changes.
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
    private fun change(prefill: Int, decode: Int) =
        StagePlan.change(prefill, decode, readingTime = 100.milliseconds, holdingTime = 320.milliseconds)

    /** Guards against idle prefill servers beside full decode servers, and against a pool that reads no prompts. */
    @Test
    fun `prefill servers beyond the balance are surplus`() {
        expectThat(change(prefill = 3, decode = 3)).isEqualTo(ServerStage.DECODE)
        expectThat(change(prefill = 2, decode = 4)).isNull()
        expectThat(change(prefill = 3, decode = 1)).isEqualTo(ServerStage.DECODE)
        expectThat(change(prefill = 1, decode = 1)).isNull()
        expectThat(change(prefill = 12, decode = 30)).isNull()
    }

    /**
     * Guards against a pool that gives up a prefill server because another server is away for a moment, and then loses
     * the last one (an incident of cmn-dakar: no prefill server for three seconds of a crest).
     */
    @Test
    fun `a pool of some servers keeps two prefill servers`() {
        val long = 600.milliseconds
        expectThat(StagePlan.change(2, 3, readingTime = 100.milliseconds, holdingTime = long)).isNull()
        expectThat(StagePlan.change(3, 3, readingTime = 100.milliseconds, holdingTime = long))
            .isEqualTo(ServerStage.DECODE)
    }

    /**
     * Guards against a pool that has lost its prefill servers for good and reads all prompts slowly on decode servers
     * (cmn-dakar trouble-1 after the replacement of its servers).
     */
    @Test
    fun `decode servers replace prefill servers that are gone`() {
        expectThat(change(prefill = 0, decode = 5)).isEqualTo(ServerStage.PREFILL)
        expectThat(change(prefill = 0, decode = 2)).isEqualTo(ServerStage.PREFILL)
        expectThat(change(prefill = 0, decode = 1)).isNull()
        expectThat(change(prefill = 1, decode = 11)).isEqualTo(ServerStage.PREFILL)
    }

    /** Guards against servers that are ordered back and forth, where each change takes them away for seconds. */
    @Test
    fun `a change is never followed by its opposite`() {
        for (total in 2..60) {
            for (prefill in 0..total) {
                val decode = total - prefill
                val after = when (change(prefill, decode)) {
                    ServerStage.DECODE -> change(prefill - 1, decode + 1) to ServerStage.PREFILL
                    ServerStage.PREFILL -> change(prefill + 1, decode - 1) to ServerStage.DECODE
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

    private fun DispatchFixture.run(count: Int) = repeat(count) {
        val granted = submit(request(DispatchWork.Generation(3_000, 300), remaining = 14.seconds)).granted().single()
        if (granted.prefillServer != null) release(granted, PlacePart.PREFILL, elapsed = 100.milliseconds)
        release(granted, elapsed = 3.seconds)
        pass(1.seconds)
        dispatcher.renew(HeldPlaces(DispatchFixture.HOLDER, DispatchFixture.POOL, emptyList()), now)
    }

    /** Guards against orders before anything is known of the requests. */
    @Test
    fun `no server changes before runs were observed`() {
        val fixture = fixture()
        fixture.run(5)
        expectThat(fixture.dispatcher.takeStageChange(6.seconds, fixture.now)).isNull()
    }

    /** Guards against several orders at once, which would leave a pool without servers for the time of the change. */
    @Test
    fun `one server changes at a time and takes no prompts meanwhile`() {
        val fixture = fixture()
        fixture.run(20)
        val changed = fixture.dispatcher.takeStageChange(6.seconds, fixture.now)
        expectThat(changed).isNotNull().get { stage }.isEqualTo(ServerStage.DECODE)
        expectThat(fixture.dispatcher.takeStageChange(6.seconds, fixture.now)).isNull()
        repeat(4) {
            val request = fixture.request(DispatchWork.Generation(3_000, 300), remaining = 14.seconds)
            val granted = fixture.submit(request).granted().single()
            expectThat(granted.prefillServer == changed?.server?.id).isEqualTo(false)
        }
    }

    /** Guards against runs that a server rejects while it becomes a prefill server, after their prompts were read. */
    @Test
    fun `decode server that becomes a prefill server gets no more runs`() {
        val fixture = DispatchFixture(
            listOf("d", "e", "f").map { server(it, ServerStage.DECODE, 16) },
            EngineProfile(slots = 16, memoryTokens = 38_000),
        )
        fixture.run(20)
        val changed = fixture.dispatcher.takeStageChange(6.seconds, fixture.now)
        expectThat(changed).isNotNull().get { stage }.isEqualTo(ServerStage.PREFILL)
        val granted = (1..3).flatMap {
            fixture.pass(600.milliseconds)
            fixture.submit(fixture.request(DispatchWork.Generation(3_000, 300), remaining = 14.seconds)).granted()
        }
        expectThat(granted.map { it.server }).hasSize(3).doesNotContain(changed!!.server.id)
    }

    /** Guards against a server that stays unused after its change, until the longest time for a change has passed. */
    @Test
    fun `server is used as soon as its entry shows the new stage`() {
        val fixture = fixture()
        fixture.run(20)
        val changed = fixture.dispatcher.takeStageChange(6.seconds, fixture.now)!!.server
        val servers = listOf("p", "q", "r").map {
            server(it, if (changed.id.value == it) ServerStage.DECODE else ServerStage.PREFILL, 16)
        }
        fixture.dispatcher.configure(servers, EngineProfile(slots = 16, memoryTokens = 38_000))
        val request = fixture.request(DispatchWork.Generation(3_000, 300), remaining = 14.seconds)
        expectThat(fixture.submit(request).granted().single().server).isEqualTo(changed.id)
    }

    /**
     * Guards against a pool that waits for a change of a server that has crashed (belfry-ops scale-2: ten seconds of a
     * crest with a surplus prefill server).
     */
    @Test
    fun `next server is ordered when an order could not be sent`() {
        val fixture = fixture()
        fixture.run(20)
        val crashed = fixture.dispatcher.takeStageChange(6.seconds, fixture.now)!!
        fixture.dispatcher.stageChangeNotSent(crashed, fixture.now)
        val next = fixture.dispatcher.takeStageChange(6.seconds, fixture.now)
        expectThat(next).isNotNull().get { server.id }.isNotEqualTo(crashed.server.id)
    }

    /** Guards against orders to servers that are known not to answer. */
    @Test
    fun `unreachable server is not ordered`() {
        val fixture = fixture()
        fixture.run(20)
        val request = fixture.request(DispatchWork.Generation(3_000, 300), remaining = 14.seconds)
        val granted = fixture.submit(request).granted().single()
        fixture.release(granted, PlacePart.PREFILL, PlaceOutcome.UNREACHABLE)
        val ordered = fixture.dispatcher.takeStageChange(6.seconds, fixture.now)
        expectThat(ordered).isNotNull().get { server.id }.isNotEqualTo(granted.prefillServer)
    }
}
