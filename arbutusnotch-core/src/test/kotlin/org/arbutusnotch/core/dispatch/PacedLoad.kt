/*
 * Test fixture: keeps a pool with paced servers under full load, and counts the requests at each server.
 */
package org.arbutusnotch.core.dispatch

import org.arbutusnotch.core.forwarding.BackendServer
import org.arbutusnotch.core.forwarding.EngineProfile
import org.arbutusnotch.core.id.Incarnation
import org.arbutusnotch.core.id.InstanceAddress
import org.arbutusnotch.core.id.InstanceId
import org.arbutusnotch.core.message.DispatchWork
import org.arbutusnotch.core.message.PlaceOutcome
import org.arbutusnotch.core.message.PlacePart
import org.arbutusnotch.core.time.Timestamp
import java.util.PriorityQueue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Describes a granted request: its [work], its [server], and the number of requests [held] there with it. */
internal data class LoadedRequest(val work: DispatchWork, val server: String, val held: Int, val at: Timestamp)

internal class PacedLoad(
    private var servers: List<BackendServer>,
    private val engine: EngineProfile? = null,
    paced: Boolean = true,
    private val work: (Int) -> DispatchWork = { DispatchWork.Call },
    private val elapsed: (LoadedRequest) -> Duration,
) {
    val fixture = DispatchFixture(servers, engine, pacesServers = paced)
    val start: Timestamp = fixture.now
    private val works = HashMap<String, DispatchWork>()
    private val fresh = mutableListOf<DispatchDecision.Granted>()
    private val ends = PriorityQueue<End>(compareBy { it.at })

    /** Requests that each server runs now. */
    val held = HashMap<String, Int>()

    /** Largest number of requests that each server has run at a time since [most] was last cleared. */
    val most = HashMap<String, Int>()
    var outcome: (String) -> PlaceOutcome = { PlaceOutcome.COMPLETED }
    var holders = listOf(DispatchFixture.HOLDER, OTHER_HOLDER)

    fun configure(changed: List<BackendServer>) {
        servers = changed
        fixture.dispatcher.configure(servers, engine)
        held.keys.retainAll(servers.map { it.id.value }.toSet())
    }

    /** Replaces the process of each server in [names]; its requests end without a release. */
    fun restart(names: List<String>) {
        ends.removeIf { it.granted.server.value in names }
        names.forEach { held.remove(it) }
        configure(servers.map { if (it.id.value in names) it.copy(startedAt = it.startedAt + 1) else it })
    }

    fun run(time: Duration) {
        val end = fixture.now + time
        submit()
        fill()
        while (ends.isNotEmpty() && ends.peek().at <= end) {
            val next = ends.poll()
            fixture.advance(next.at - fixture.now)
            val server = next.granted.server.value
            held.merge(server, -1, Int::plus)
            if (next.granted.prefillServer != null) {
                start(fixture.release(next.granted, PlacePart.PREFILL, elapsed = 1.milliseconds))
            }
            start(fixture.release(next.granted, outcome = outcome(server), elapsed = next.elapsed))
            fill()
        }
        fixture.advance(end - fixture.now)
    }

    private fun fill() {
        while (fixture.dispatcher.queueLength < QUEUE) submit()
        fresh.forEach { granted ->
            val server = granted.server.value
            val work = works.getValue(granted.ticket.value)
            val request = LoadedRequest(work, server, held.getValue(server), fixture.now)
            val time = elapsed(request)
            ends += End(fixture.now + time, granted, time)
        }
        fresh.clear()
    }

    private fun submit() {
        val holder = holders[works.size % holders.size]
        val request =
            fixture.request(work(works.size), objective = 60.seconds, remaining = 120.seconds, holder = holder)
        works[request.ticket.value] = request.work
        start(fixture.submit(request))
    }

    private fun start(decisions: List<DispatchDecision>) = decisions.granted().forEach { granted ->
        val server = granted.server.value
        val count = held.merge(server, 1, Int::plus) ?: 1
        most.merge(server, count, ::maxOf)
        fresh += granted
    }

    private class End(val at: Timestamp, val granted: DispatchDecision.Granted, val elapsed: Duration)

    companion object {
        private const val QUEUE = 20
        val OTHER_HOLDER = InstanceId(InstanceAddress("127.0.0.1:9"), Incarnation(1))
    }
}
