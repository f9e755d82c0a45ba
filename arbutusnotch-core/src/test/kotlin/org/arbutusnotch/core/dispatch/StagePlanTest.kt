/*
 * How many servers read prompts, and which one changes.
 */
package org.arbutusnotch.core.dispatch

import org.arbutusnotch.core.dispatch.DispatchFixture.Companion.server
import org.arbutusnotch.core.forwarding.EngineProfile
import org.arbutusnotch.core.forwarding.ServerStage
import org.arbutusnotch.core.message.DispatchWork
import org.arbutusnotch.core.message.PlacePart
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isNotNull
import strikt.assertions.isNull
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class StagePlanTest {
    private fun surplus(prefill: Int, decode: Int) =
        StagePlan.hasSurplusPrefill(prefill, decode, readingTime = 100.milliseconds, holdingTime = 320.milliseconds)

    /** Guards against idle prefill servers beside full decode servers, and against a pool that reads no prompts. */
    @Test
    fun `prefill servers beyond the balance are surplus`() {
        expectThat(surplus(prefill = 3, decode = 3)).isEqualTo(true)
        expectThat(surplus(prefill = 2, decode = 4)).isEqualTo(false)
        expectThat(surplus(prefill = 3, decode = 1)).isEqualTo(true)
        expectThat(surplus(prefill = 1, decode = 1)).isEqualTo(false)
        expectThat(surplus(prefill = 12, decode = 30)).isEqualTo(false)
    }

    private fun fixture() = DispatchFixture(
        listOf("p", "q", "r").map { server(it, ServerStage.PREFILL, 16) } + server("d", ServerStage.DECODE, 16),
        EngineProfile(slots = 16, memoryTokens = 38_000),
    )

    private fun DispatchFixture.run(count: Int) = repeat(count) {
        val granted = submit(request(DispatchWork.Generation(3_000, 300), remaining = 14.seconds)).granted().single()
        release(granted, PlacePart.PREFILL, elapsed = 100.milliseconds)
        release(granted, elapsed = 3.seconds)
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
        expectThat(changed).isNotNull()
        expectThat(fixture.dispatcher.takeStageChange(6.seconds, fixture.now)).isNull()
        repeat(4) {
            val request = fixture.request(DispatchWork.Generation(3_000, 300), remaining = 14.seconds)
            val granted = fixture.submit(request).granted().single()
            expectThat(granted.prefillServer == changed?.id).isEqualTo(false)
        }
    }
}
