/*
 * Tests how many requests a server gets that has just started or recovered, in a pool under full load.
 */
package org.arbutusnotch.core.dispatch

import org.arbutusnotch.core.dispatch.DispatchFixture.Companion.server
import org.arbutusnotch.core.forwarding.EngineProfile
import org.arbutusnotch.core.forwarding.ServerStage
import org.arbutusnotch.core.id.BackendServerId
import org.arbutusnotch.core.id.TicketId
import org.arbutusnotch.core.message.DispatchWork
import org.arbutusnotch.core.message.HeldPlace
import org.arbutusnotch.core.message.HeldPlaces
import org.arbutusnotch.core.message.PlaceOutcome
import org.arbutusnotch.core.message.PlacePart
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.all
import strikt.assertions.containsExactly
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThanOrEqualTo
import strikt.assertions.isIn
import strikt.assertions.isLessThanOrEqualTo
import strikt.assertions.isNotNull
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class ServerPaceDispatchTest {
    private val normal = 50.milliseconds
    private val prefill = (1..8).map { server("p$it", ServerStage.PREFILL, slots = 16) }
    private val four = listOf("a", "b", "c", "d").map { server(it, slots = 8) }

    private fun List<PaceChange>.of(server: String) = filter { it.server.value == server }.map { it.state }

    /** Guards against a change for deployments that do not enable the limit. */
    @Test
    fun `without the setting new servers get all of their slots`() {
        val load = PacedLoad(four, paced = false) { normal }
        load.run(1.milliseconds)
        load.restart(listOf("a"))
        load.run(1.milliseconds)
        expectThat(load.held.values).all { isEqualTo(9) }
        expectThat(load.fixture.dispatcher.takePaceChanges()).isEmpty()
    }

    /** Guards against a pool that is slowed down after all of its servers, or its dispatcher, have started. */
    @Test
    fun `pool that starts as a whole gets half of its slots at once and all after one answer time`() {
        val load = PacedLoad(four) { normal }
        load.run(1.milliseconds)
        expectThat(load.held.values).all { isEqualTo(4) }
        load.run(normal)
        expectThat(load.held.values).all { isEqualTo(9) }
        expectThat(load.fixture.dispatcher.pacedServers).isEqualTo(0)
    }

    /** Guards against a new server that gets all slots before it has answered, or too late when it is fast. */
    @Test
    fun `server that recovers full speed at once has all slots after a few answers`() {
        val load = PacedLoad(four) { normal }
        load.run(1.seconds)
        load.fixture.dispatcher.takePaceChanges()
        load.restart(listOf("a"))
        load.run(normal - 1.milliseconds)
        expectThat(load.held["a"]).isEqualTo(1)
        load.run(normal * 5)
        expectThat(load.held["a"]).isEqualTo(9)
        expectThat(load.fixture.dispatcher.takePaceChanges().of("a"))
            .containsExactly(PaceState.STARTING, PaceState.ESTABLISHED)
    }

    /** Guards against an overload of a cold server, and against one that stays idle once it is warm. */
    @Test
    fun `cold server gets few requests until it answers at normal speed`() {
        lateinit var load: PacedLoad
        val warmAt = 4.seconds
        load = PacedLoad(four) { if (it.server == "a" && it.at < load.start + warmAt) normal * 10 else normal }
        load.configure(four.drop(1))
        load.run(1.seconds)
        load.configure(four)
        load.run(3.seconds)
        expectThat(load.most.getValue("a")).isLessThanOrEqualTo(1)
        expectThat(load.fixture.dispatcher.pacedServers).isEqualTo(1)
        load.run(1.seconds)
        expectThat(load.held["a"]).isEqualTo(9)
        expectThat(load.held.filterKeys { it != "a" }.values).all { isEqualTo(9) }
    }

    /** Guards against a slow server that keeps all of its slots, and against one that gets no requests. */
    @Test
    fun `server that is permanently slow ends with a limit that fits its speed`() {
        listOf(true, false).forEach { restarted ->
            val load = PacedLoad(four) { if (it.server == "a") normal * 5 else normal }
            if (restarted) load.configure(four.drop(1))
            load.run(1.seconds)
            load.configure(four)
            load.run(30.seconds)
            expectThat(load.held["a"]).isEqualTo(4)
            expectThat(load.fixture.dispatcher.takePaceChanges().of("a").last()).isEqualTo(PaceState.SLOW)
        }
    }

    /** Guards against growth of a server whose time rises with its load, and against a limit that falls to zero. */
    @Test
    fun `server that is overloaded by half of its slots gets fewer`() {
        val load = PacedLoad(four) { if (it.server == "a") normal * maxOf(1, it.held * it.held / 4) else normal }
        load.run(9.seconds)
        expectThat(load.most["a"]).isEqualTo(4)
        load.run(30.seconds)
        // Once in ten seconds the server gets one more request as a trial.
        expectThat(load.most["a"]).isNotNull().isIn(4..5)
    }

    /** Guards against a restart of a quarter of the pool that overloads the cold servers or slows the others down. */
    @Test
    fun `quarter of the pool that restarts together grows by its own answers`() {
        val servers = (1..8).map { server("s$it", slots = 8) }
        val crashed = listOf("s1", "s2")
        lateinit var load: PacedLoad
        load = PacedLoad(servers) { if (it.server in crashed && it.at < load.start + 4.seconds) normal * 8 else normal }
        load.run(3.seconds)
        load.restart(crashed)
        load.most.clear()
        load.run(500.milliseconds)
        expectThat(load.most.filterKeys { it in crashed }.values).all { isLessThanOrEqualTo(1) }
        load.run(2.seconds)
        expectThat(load.held.values).all { isEqualTo(9) }
    }

    /** Guards against a new server that never gets its slots because it is measured against an ideal speed. */
    @Test
    fun `new server among slow ones grows at their speed`() {
        val load = PacedLoad(four) { normal * 8 }
        load.configure(four.drop(1))
        load.run(5.seconds)
        load.configure(four)
        load.run(normal * 8 * 5)
        expectThat(load.held["a"]).isEqualTo(9)
    }

    /** Guards against a pool without capacity after its only server has restarted. */
    @Test
    fun `only server is not limited`() {
        val load = PacedLoad(four.take(1)) { normal * 4 }
        load.run(1.seconds)
        load.restart(listOf("a"))
        load.run(1.milliseconds)
        expectThat(load.held["a"]).isEqualTo(9)
    }

    /** Guards against a server that gets all slots again between its faults, and against a limit of zero. */
    @Test
    fun `server that fails repeatedly starts again with few slots each time`() {
        val load = PacedLoad(four) { normal }
        load.run(3.seconds)
        load.fixture.dispatcher.takePaceChanges()
        repeat(3) {
            load.outcome = { if (it == "a") PlaceOutcome.BROKEN else PlaceOutcome.COMPLETED }
            load.run(1.seconds)
            expectThat(load.held.getValue("a")).isLessThanOrEqualTo(1)
            load.outcome = { PlaceOutcome.COMPLETED }
            load.run(10.seconds)
            expectThat(load.held["a"]).isEqualTo(9)
        }
        expectThat(load.fixture.dispatcher.takePaceChanges().of("a"))
            .isEqualTo(List(3) { listOf(PaceState.RECOVERING, PaceState.ESTABLISHED) }.flatten())
    }

    /** Guards against a limit on every server when the requests themselves fail. */
    @Test
    fun `failures at all servers limit none`() {
        val load = PacedLoad(four) { normal }
        load.run(1.seconds)
        load.outcome = { PlaceOutcome.SERVER_FAILED }
        load.run(3.seconds)
        expectThat(load.fixture.dispatcher.pacedServers).isEqualTo(0)
    }

    /** Guards against a limit for all because of an instance that is cut off from a server. */
    @Test
    fun `faults of one instance do not limit a server`() {
        val load = PacedLoad(four) { normal }
        load.holders = listOf(DispatchFixture.HOLDER)
        load.run(1.seconds)
        load.outcome = { if (it == "a") PlaceOutcome.UNREACHABLE else PlaceOutcome.COMPLETED }
        load.run(5.seconds)
        expectThat(load.fixture.dispatcher.pacedServers).isEqualTo(0)
    }

    /** Guards against a pool of unequal servers that loses capacity while all of them are untested. */
    @Test
    fun `servers of ordinary differences in speed have all slots soon after a start of the whole pool`() {
        repeat(20) { seed ->
            val random = Random(seed)
            val servers = (1..12).map { server("s$it", slots = 8) }
            val speeds = servers.associate { it.id.value to listOf(0.55, 1.0, 1.2)[random.nextInt(3)] }
            val load = PacedLoad(servers) { normal * (random.nextDouble(0.5, 1.5) / speeds.getValue(it.server)) }
            load.run(1.seconds)
            expectThat(load.fixture.dispatcher.pacedServers).isLessThanOrEqualTo(1)
            load.run(1.seconds)
            expectThat(load.fixture.dispatcher.pacedServers).isEqualTo(0)
        }
    }

    /** Guards against a limit that two dispatchers of the pool exceed although both receive the reports. */
    @Test
    fun `places that another dispatcher has granted count towards the limit`() {
        val load = PacedLoad(four) { normal }
        load.configure(four.drop(1))
        load.run(1.seconds)
        val places = listOf(HeldPlace(TicketId("r"), BackendServerId("a"), PlacePart.RUN, tokens = 0))
        val other = HeldPlaces(PacedLoad.OTHER_HOLDER, DispatchFixture.POOL, places)
        load.configure(four)
        load.fixture.dispatcher.reconcile(other, load.fixture.now)
        load.run(normal * 2)
        expectThat(load.held["a"] ?: 0).isEqualTo(0)
    }

    /** Guards against a limit that a pause of the dispatcher lifts or lowers. */
    @Test
    fun `pause of the dispatcher does not change the limit`() {
        val load = PacedLoad(four) { if (it.server == "a") normal * 20 else normal }
        load.configure(four.drop(1))
        load.run(1.seconds)
        load.configure(four)
        load.run(3.seconds)
        load.fixture.advance(60.seconds)
        load.most.clear()
        load.run(900.milliseconds)
        expectThat(load.most.getValue("a")).isEqualTo(1)
        expectThat(load.fixture.dispatcher.pacedServers).isEqualTo(1)
    }

    /** Guards against growth of a server that rejects requests as full although its answers are fast. */
    @Test
    fun `server that rejects requests as full does not grow`() {
        val load = PacedLoad(four) { normal }
        load.configure(four.drop(1))
        load.run(1.seconds)
        var answers = 0
        load.outcome = { if (it == "a" && answers++ % 2 == 1) PlaceOutcome.NOT_RUN else PlaceOutcome.COMPLETED }
        load.configure(four)
        load.run(4.seconds)
        expectThat(load.most.getValue("a")).isEqualTo(1)
    }

    /** Guards against a new dispatcher that takes busy servers for unknown ones. */
    @Test
    fun `servers that hold many places by the reports of holders are established for a new dispatcher`() {
        val fixture = DispatchFixture(four.take(2), reported = false, pacesServers = true)
        val places = (1..6).map { HeldPlace(TicketId("r$it"), BackendServerId("a"), PlacePart.RUN, tokens = 0) }
        fixture.dispatcher.reconcile(HeldPlaces(DispatchFixture.HOLDER, DispatchFixture.POOL, places), fixture.now)
        repeat(20) { fixture.submitCall(objective = 60.seconds) }
        expectThat(fixture.dispatcher.takePaceChanges().of("a")).containsExactly(PaceState.ESTABLISHED)
        expectThat(fixture.dispatcher.placesInUse).isEqualTo(9 + 4)
    }

    /** Guards against runs that count as slow because their outputs are long, and against one limit for both stages. */
    @Test
    fun `generations are compared by the time per output token`() {
        val engine = EngineProfile(slots = 16, memoryTokens = 100_000)
        val decode = listOf("a", "b", "c", "d").map { server(it, ServerStage.DECODE, slots = 16) }
        val servers = decode + prefill
        val load = PacedLoad(
            servers,
            engine,
            work = { DispatchWork.Generation(promptTokens = 100, expectedOutputTokens = if (it % 4 == 0) 900 else 20) },
        ) { (it.work as DispatchWork.Generation).expectedOutputTokens.milliseconds }
        load.configure(servers.drop(1))
        load.run(10.seconds)
        expectThat(load.fixture.dispatcher.pacedServers).isEqualTo(0)
        load.fixture.dispatcher.takePaceChanges()
        load.configure(servers)
        load.most.clear()
        load.run(5.seconds)
        expectThat(load.fixture.dispatcher.takePaceChanges().of("a"))
            .containsExactly(PaceState.STARTING, PaceState.ESTABLISHED)
    }

    /** Guards against a full decode memory on a server that has just started, while its slots look free. */
    @Test
    fun `new decode server gets the same share of its memory as of its slots`() {
        val engine = EngineProfile(slots = 64, memoryTokens = 10_000)
        val decode = listOf("a", "b", "c").map { server(it, ServerStage.DECODE, slots = 64) }
        val servers = decode + prefill
        val load = PacedLoad(
            servers,
            engine,
            work = { DispatchWork.Generation(promptTokens = 650, expectedOutputTokens = 500) },
        ) { if (it.server == "a") 60.seconds else 500.milliseconds }
        load.configure(servers.drop(1))
        load.run(10.seconds)
        load.configure(servers)
        load.run(5.seconds)
        expectThat(load.most.getValue("a")).isEqualTo(2)
        expectThat(load.most.getValue("b")).isGreaterThanOrEqualTo(5)
    }
}
