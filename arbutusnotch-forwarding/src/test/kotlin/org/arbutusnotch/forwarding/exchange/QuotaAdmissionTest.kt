/*
 * Tests that an exchange asks for the quota of its workspace first, and returns what it did not use.
 */
package org.arbutusnotch.forwarding.exchange

import io.micrometer.core.instrument.simple.SimpleMeterRegistry
import io.netty.buffer.ByteBuf
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import org.arbutusnotch.core.forwarding.AnswerBufferBudget
import org.arbutusnotch.core.forwarding.BackendServer
import org.arbutusnotch.core.forwarding.PublishedHistory
import org.arbutusnotch.core.forwarding.ServerRegistry
import org.arbutusnotch.core.id.ContentDigest
import org.arbutusnotch.core.id.FailureDomainId
import org.arbutusnotch.core.id.Incarnation
import org.arbutusnotch.core.id.InstanceAddress
import org.arbutusnotch.core.id.InstanceId
import org.arbutusnotch.core.id.PoolId
import org.arbutusnotch.core.id.RevisionNumber
import org.arbutusnotch.core.id.WorkspaceId
import org.arbutusnotch.core.membership.InstanceCounts
import org.arbutusnotch.core.message.DispatchRefusal
import org.arbutusnotch.core.message.DispatchReply
import org.arbutusnotch.core.message.DispatchRequest
import org.arbutusnotch.core.message.DispatchWork
import org.arbutusnotch.core.message.PeerMessage
import org.arbutusnotch.core.message.QuotaReply
import org.arbutusnotch.core.message.QuotaRequest
import org.arbutusnotch.core.message.QuotaReturn
import org.arbutusnotch.core.quarantine.RequestQuarantine
import org.arbutusnotch.core.quarantine.Suspects
import org.arbutusnotch.core.workspace.Workspace
import org.arbutusnotch.core.workspace.WorkspaceQuota
import org.arbutusnotch.forwarding.dispatch.DispatchClient
import org.arbutusnotch.forwarding.fixture.AnswerWriter
import org.arbutusnotch.forwarding.fixture.ScriptedServer
import org.arbutusnotch.forwarding.fixture.TestProtocol
import org.arbutusnotch.forwarding.fixture.awaitUntil
import org.arbutusnotch.forwarding.fixture.testRoutes
import org.arbutusnotch.forwarding.fixture.testServer
import org.arbutusnotch.forwarding.http.HeaderField
import org.arbutusnotch.forwarding.http.HttpRequestMessage
import org.arbutusnotch.forwarding.http.RequestHead
import org.arbutusnotch.forwarding.http.Responder
import org.arbutusnotch.forwarding.http.ResponseHead
import org.arbutusnotch.forwarding.quarantine.CrashReporter
import org.arbutusnotch.forwarding.quota.QuotaClient
import org.arbutusnotch.forwarding.quota.QuotaOwners
import org.arbutusnotch.forwarding.registry.ServerHistory
import org.arbutusnotch.forwarding.stream.OriginResolver
import org.arbutusnotch.forwarding.stream.StreamOrigins
import org.arbutusnotch.telemetry.MonotonicClock
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.hasSize
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isNull
import java.util.concurrent.CopyOnWriteArrayList
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class QuotaAdmissionTest {
    private val self = InstanceId(InstanceAddress("10.0.0.1:1"), Incarnation(1))
    private val owner = InstanceId(InstanceAddress("10.0.0.2:1"), Incarnation(1))
    private val relayPeer = InstanceAddress("10.0.0.3:1")
    private val candidates = listOf(owner)
    private val clock = MonotonicClock()
    private val group = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
    private val server = ScriptedServer { if (request.target.endsWith("full")) rejectAll() else answer() }
    private val peer = ScriptedServer { answer() }
    private val registry = ServerRegistry(1.seconds, 1.seconds)
    private val sent = CopyOnWriteArrayList<PeerMessage>()
    private val responses = CopyOnWriteArrayList<ResponseHead>()

    private fun AnswerWriter.rejectAll() = answer(status = "429 Too Many Requests", headers = "not-run: 1\r\n")

    private val dispatch: DispatchClient = DispatchClient(
        self = self,
        domain = FailureDomainId("one"),
        registry = registry,
        candidates = { candidates },
        recentlyLost = { emptyList() },
        send = { _, message -> sent += message },
        now = { clock.now() },
    )
    private val quotas: QuotaClient = QuotaClient(
        self = self,
        owners = QuotaOwners(self, { candidates }, { emptyList() }, { InstanceCounts(2, 2) }, { clock.now() }),
        revision = { RevisionNumber(1) },
        send = { _, message -> sent += message },
        now = { clock.now() },
    )
    private val context = ForwardingContext(
        clock = clock,
        group = group,
        protocol = TestProtocol,
        registry = registry,
        dispatch = dispatch,
        announcementHandler = AnnouncementHandler(registry, { clock.now() }, {}, { _, _ -> }, { _, _ -> }),
        crashReporter = CrashReporter(RequestQuarantine(self.address), { clock.now() }, { _, _ -> }, { false }),
        originResolver = OriginResolver(
            StreamOrigins({ emptyList() }, { emptyList() }, { _, _ -> }, { clock.now() }),
            registry,
            object : ServerHistory {
                override fun read(onResult: (PublishedHistory?) -> Unit) = onResult(null)

                override fun readRecent(onResult: (List<BackendServer>?) -> Unit) = onResult(null)
            },
        ) { clock.now() },
        random = Random(1),
        metrics = ForwardingMetrics(SimpleMeterRegistry()),
        answerBufferBudget = AnswerBufferBudget(1_000_000),
        relays = RelayedRequests { if (it == relayPeer) peer.address else null },
        quotas = quotas,
    )

    private val responder = object : Responder {
        override val isWritable = true
        override var onWritable: () -> Unit = {}

        override fun send(head: ResponseHead, body: ByteArray, onWritten: () -> Unit) {
            responses += head
        }

        override fun startStreaming(head: ResponseHead) = Unit

        override fun sendContent(content: ByteBuf) = Unit

        override fun end() = Unit

        override fun abort() = Unit

        override fun dropUnwritten() = Unit
    }

    @AfterEach
    fun close() {
        group.shutdownGracefully()
        server.close()
        peer.close()
    }

    private fun onLoop(action: () -> Unit) = group.submit(action).get()

    /** Starts a call of a workspace with a quota, which may take [wait] milliseconds. */
    private fun start(target: String = "/safe/x", wait: Int = 4_000, tokens: String? = "30,12"): CallExchange {
        val route = testRoutes().routes.first { it.name == "safe" }
        val headers = listOfNotNull("id" to "r", "wait" to "$wait", tokens?.let { "tokens" to it })
        val head = RequestHead("POST", target, headers.map { HeaderField(it.first, it.second) })
        val request = RoutedRequest(
            message = HttpRequestMessage(head, ByteArray(0)),
            suspects = Suspects.of(ContentDigest("content")),
            caller = checkNotNull(TestProtocol.readRequest(head)),
            route = route,
            pool = PoolId("calls"),
            work = DispatchWork.Call,
            workspace = Workspace(
                id = WorkspaceId("w"),
                keys = emptySet(),
                quota = WorkspaceQuota(1.0, 1.0),
                plainRequestTokens = 7,
            ),
        )
        registry.put(testServer("s", server.address), clock.now())
        val exchange = CallExchange(context, request, responder)
        onLoop { exchange.start() }
        return exchange
    }

    private inline fun <reified T> sent(): List<T> = sent.filterIsInstance<T>()

    private fun answerQuota(reply: (QuotaRequest) -> QuotaReply) =
        onLoop { quotas.onReply(reply(sent<QuotaRequest>().last()), owner.address) }

    private fun grant() = answerQuota { QuotaReply.Granted(it.ticket) }

    private fun answerDispatch(reply: (DispatchRequest) -> DispatchReply) {
        awaitUntil("a place was requested") { sent<DispatchRequest>().isNotEmpty() }
        onLoop { dispatch.onReply(reply(sent<DispatchRequest>().last()), owner.address) }
    }

    private fun awaitResponse(): ResponseHead {
        awaitUntil("a response") { responses.isNotEmpty() }
        return responses.single()
    }

    /** Returns are sent twice; this counts the requests that were returned. */
    private fun returned() = sent<QuotaReturn>().map { it.ticket }.distinct().size

    /** Guards against a request above the quota that still runs, and against a rejection without its retry time. */
    @Test
    fun `request above the quota is rejected and never asks for a place`() {
        start()
        answerQuota { QuotaReply.Exceeded(it.ticket, retryMillis = 1_234) }
        val response = awaitResponse()
        expectThat(response.status).isEqualTo(429)
        expectThat(response.header("Retry-After")).isEqualTo("1.234")
        expectThat(response.header("X-Refusal-Reason")).isEqualTo("quota_exceeded")
        expectThat(sent<DispatchRequest>()).isEmpty()
        expectThat(sent<QuotaReturn>()).isEmpty()
    }

    @Test
    fun `request that no quota admits is rejected without a retry time`() {
        start()
        answerQuota { QuotaReply.Exceeded(it.ticket) }
        expectThat(awaitResponse().header("Retry-After")).isNull()
    }

    /** Guards against a place that is requested before the units are granted, and against a wrong cost. */
    @Test
    fun `request that runs keeps its units`() {
        start()
        start(tokens = null)
        expectThat(sent<QuotaRequest>().map { it.tokens }).isEqualTo(listOf(42L, 7L))
        expectThat(sent<DispatchRequest>()).isEmpty()
        grant()
        answerDispatch { DispatchReply.Granted(it.ticket, testServer("s", server.address).id) }
        expectThat(awaitResponse().status).isEqualTo(200)
        expectThat(returned()).isEqualTo(0)
    }

    /** Guards against units that are lost when the request gets no place. */
    @Test
    fun `refused request returns its units once`() {
        start()
        grant()
        answerDispatch { DispatchReply.Refused(it.ticket, DispatchRefusal.OVERLOADED, 500) }
        expectThat(awaitResponse().status).isEqualTo(503)
        expectThat(returned()).isEqualTo(1)
        expectThat(sent<QuotaReturn>().single().tokens).isEqualTo(42L)
    }

    /** Guards against units that are lost when every server states that it did not run the request. */
    @Test
    fun `request that its servers rejected returns its units`() {
        start("/safe/full", wait = 1_500)
        grant()
        answerDispatch { DispatchReply.Granted(it.ticket, testServer("s", server.address).id) }
        awaitUntil("another place was requested") { sent<DispatchRequest>().size == 2 }
        answerDispatch { DispatchReply.Refused(it.ticket, DispatchRefusal.NO_SERVER, 500) }
        expectThat(awaitResponse().status).isEqualTo(503)
        expectThat(returned()).isEqualTo(1)
    }

    /** Guards against units of a caller that left before the reply of the owner. */
    @Test
    fun `caller that leaves while it waits for the quota returns its units`() {
        val exchange = start()
        onLoop { exchange.onDisconnect() }
        expectThat(returned()).isEqualTo(1)
        grant()
        expectThat(sent<DispatchRequest>()).isEmpty()
    }

    /** Guards against a request that runs, or keeps its units, after its deadline has passed without a reply. */
    @Test
    fun `deadline that passes while the request waits for the quota returns its units`() {
        start(wait = 100)
        expectThat(awaitResponse().status).isEqualTo(503)
        expectThat(returned()).isEqualTo(1)
        grant()
        expectThat(sent<DispatchRequest>()).isEmpty()
    }

    /** Guards against a relayed request that both instances count. */
    @Test
    fun `relayed request returns its units before it is passed on`() {
        start()
        grant()
        answerDispatch {
            DispatchReply.Refused(it.ticket, DispatchRefusal.SERVERS_UNREACHABLE, 500, listOf(relayPeer))
        }
        expectThat(awaitResponse().status).isEqualTo(200)
        expectThat(peer.requests).hasSize(1)
        expectThat(returned()).isEqualTo(1)
    }

    /** Guards against a request that waits for ever for owners that do not answer. */
    @Test
    fun `silent owners are skipped and the instance decides itself`() {
        start()
        awaitUntil("the request was sent to the instance itself") {
            Thread.sleep(25.milliseconds.inWholeMilliseconds)
            onLoop { quotas.tick(clock.now()) }
            // The only candidate is skipped after three sends.
            sent<QuotaRequest>().size > 3
        }
        onLoop { quotas.onReply(QuotaReply.Granted(sent<QuotaRequest>().last().ticket), self.address) }
        awaitUntil("a place was requested") { sent<DispatchRequest>().isNotEmpty() }
        expectThat(returned()).isEqualTo(1)
    }
}
