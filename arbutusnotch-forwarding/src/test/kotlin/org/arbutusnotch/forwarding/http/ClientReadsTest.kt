/*
 * The order in which an endpoint processes what a crowd of clients has sent while its event loop was busy.
 *
 * The counts do not depend on the speed of the machine: processing the bytes of the whole crowd takes many times the
 * time that the reads of one turn may take.
 */
package org.arbutusnotch.forwarding.http

import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import org.arbutusnotch.core.forwarding.CallerLimits
import org.arbutusnotch.core.forwarding.ReadSchedule
import org.arbutusnotch.core.forwarding.RequestMemoryBudget
import org.arbutusnotch.forwarding.fixture.RawCaller
import org.arbutusnotch.forwarding.fixture.TestPorts
import org.arbutusnotch.telemetry.MonotonicClock
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.EnumSource
import strikt.api.expectThat
import strikt.assertions.all
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThan
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger
import kotlin.time.Duration.Companion.seconds

class ClientReadsTest {
    private val address = "127.0.0.1:${TestPorts.next()}"
    private val group = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
    private val clock = MonotonicClock()
    private val limits =
        CallerLimits(headBytes = 16_384, bodyBytes = 100_000, headTimeout = 30.seconds, idleTimeout = 60.seconds)

    /** The paths of the requests in the order in which they were processed. */
    private val processed = CopyOnWriteArrayList<String>()
    private val handler = RequestHandler { request, responder ->
        processed += request.head.path
        responder.send(ResponseHead(200, "OK", emptyList()), "${request.body.size}".toByteArray())
        null
    }
    private val budget = RequestMemoryBudget(64_000_000)
    private val endpoint = HttpEndpoint(
        socketAddress(address),
        group,
        clock,
        { limits },
        handler,
        ClientIntake(budget, clock, ReadTurns(ReadSchedule(TURN_NANOS, System::nanoTime))) {},
    )
    private val crowd = mutableListOf<RawCaller>()
    private val released = CountDownLatch(1)

    @AfterEach
    fun close() {
        released.countDown()
        crowd.forEach { it.close() }
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly()
    }

    /** A request of about 16 KB; its body has [bodyBytes]. */
    enum class Kind(val text: String, val bodyBytes: Int) {
        ONE_BYTE_CHUNKS(
            "POST /crowd HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n" +
                "1\r\nc\r\n".repeat(2_600) + "0\r\n\r\n",
            bodyBytes = 2_600,
        ),
        SHORT_HEADER_LINES("GET /crowd HTTP/1.1\r\nHost: h\r\n" + "a:\r\n".repeat(3_900) + "\r\n", bodyBytes = 0),
    }

    /** Opens the crowd, whose receive buffers have grown, and blocks the event loop until [released]. */
    private fun blockBeforeCrowd(kind: Kind, onReleased: () -> Unit = {}) {
        endpoint.open()
        repeat(CROWD) { crowd += RawCaller(address) }
        val first = "POST /first HTTP/1.1\r\nHost: h\r\nContent-Length: 90000\r\n\r\n${"b".repeat(90_000)}"
        crowd.forEach { it.write(first) }
        expectThat(crowd.map { it.read()?.body }).all { isEqualTo("90000") }
        processed.clear()
        group.execute {
            released.await()
            group.schedule(onReleased, 1, TimeUnit.MILLISECONDS)
        }
        crowd.forEach { it.write(kind.text) }
    }

    private fun answersOfCrowd() = crowd.map { it.read() }

    /** Guards against a short request that waits until the requests of a whole crowd are decoded. */
    @ParameterizedTest
    @EnumSource(Kind::class)
    fun `ordinary request does not wait for a crowd`(kind: Kind) {
        blockBeforeCrowd(kind)
        RawCaller(address).use { caller ->
            caller.write("GET /ordinary HTTP/1.1\r\nHost: h\r\n\r\n")
            released.countDown()
            expectThat(caller.read()?.status).isEqualTo(200)
        }
        expectThat(answersOfCrowd().map { it?.body }).all { isEqualTo("${kind.bodyBytes}") }
        expectThat(processed.indexOf("/ordinary")).isLessThan(CROWD / 2)
    }

    /** Guards against periodic work, such as heartbeats, that waits until the requests of a whole crowd are decoded. */
    @ParameterizedTest
    @EnumSource(Kind::class)
    fun `scheduled task does not wait for a crowd`(kind: Kind) {
        val processedBefore = AtomicInteger(Int.MAX_VALUE)
        blockBeforeCrowd(kind) { processedBefore.set(processed.size) }
        released.countDown()
        expectThat(answersOfCrowd().map { it?.status }).all { isEqualTo(200) }
        expectThat(processedBefore.get()).isLessThan(CROWD / 2)
    }

    /** Guards against a shutdown that closes connections whose requests were received but not decoded. */
    @Test
    fun `requests that wait for their turn are answered when idle connections are closed`() {
        blockBeforeCrowd(Kind.ONE_BYTE_CHUNKS) { endpoint.closeIdle() }
        released.countDown()
        expectThat(answersOfCrowd().map { it?.status }).all { isEqualTo(200) }
    }

    /** Guards against bytes that wait to be decoded and are not counted as memory of their connections. */
    @Test
    fun `memory of waiting bytes is counted`() {
        val usedBytes = AtomicInteger()
        blockBeforeCrowd(Kind.ONE_BYTE_CHUNKS) { usedBytes.set(budget.usedBytes) }
        val before = budget.usedBytes
        released.countDown()
        expectThat(answersOfCrowd().map { it?.status }).all { isEqualTo(200) }
        expectThat(usedBytes.get() - before).isGreaterThan(CROWD / 2 * Kind.ONE_BYTE_CHUNKS.text.length)
    }

    private companion object {
        const val CROWD = 100
        const val TURN_NANOS = 5_000_000L
    }
}
