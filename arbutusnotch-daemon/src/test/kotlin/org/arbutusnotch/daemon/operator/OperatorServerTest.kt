/*
 * Tests of the operator interface with a stubbed view.
 */
package org.arbutusnotch.daemon.operator

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.linecorp.armeria.client.WebClient
import com.linecorp.armeria.common.AggregatedHttpResponse
import com.linecorp.armeria.common.HttpMethod
import kotlinx.coroutines.awaitCancellation
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.jsonArray
import kotlinx.serialization.json.jsonObject
import org.arbutusnotch.core.id.BackendServerId
import org.arbutusnotch.core.id.ContentDigest
import org.arbutusnotch.core.id.FailureDomainId
import org.arbutusnotch.core.id.Incarnation
import org.arbutusnotch.core.id.InstanceAddress
import org.arbutusnotch.core.id.ModelId
import org.arbutusnotch.core.id.PoolId
import org.arbutusnotch.core.id.RevisionNumber
import org.arbutusnotch.core.outcome.RefusalReason
import org.arbutusnotch.core.time.Timestamp
import org.arbutusnotch.daemon.TestServer
import org.arbutusnotch.daemon.telemetry.CounterValue
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isEqualTo
import strikt.assertions.isTrue
import java.util.concurrent.CopyOnWriteArrayList

class OperatorServerTest {
    private val view = StubView()
    private val server = TestServer { operatorServices(view) }
    private val client = WebClient.of("h1c://${server.address}")

    @AfterEach
    fun stop() = server.close()

    /** Guards against a key that differs from the documented one, which the command-line tool reads. */
    @Test
    fun `the status has exactly the documented keys`() {
        val status = json(get("/operator/status"))

        expectThat(status.keys).isEqualTo(
            setOf(
                "instance", "incarnation", "entry_address", "operator_address", "failure_domain", "state", "revision",
                "digest", "candidate_revision", "conflicts", "peers", "servers",
            ),
        )
        expectThat(status.getValue("peers").jsonArray.single().jsonObject.keys).isEqualTo(
            setOf("instance", "operator_address", "failure_domain", "state", "revision", "digest", "reachable"),
        )
        expectThat(status.getValue("servers").jsonArray.single().jsonObject.keys).isEqualTo(
            setOf("server", "pool", "state", "free_slots", "token_interval_micros", "excluded"),
        )
        expectThat(status.getValue("incarnation").toString()).isEqualTo("7")
        expectThat(status.getValue("digest").toString()).isEqualTo("null")
    }

    /** Guards against an instance that reports readiness before it can serve requests. */
    @Test
    fun `health and readiness reflect the view`() {
        expectThat(get("/health").status().code()).isEqualTo(200)
        expectThat(get("/ready").status().code()).isEqualTo(503)
        view.ready = true
        expectThat(get("/ready").status().code()).isEqualTo(200)
        view.healthy = false
        expectThat(get("/health").status().code()).isEqualTo(503)
    }

    /** Guards against a health check that hangs with the control loop instead of failing. */
    @Test
    fun `a view that hangs results in status 503`() {
        view.hangs = true
        expectThat(get("/health").status().code()).isEqualTo(503)
    }

    /** Guards against query parameters that are not validated or are read under a wrong name. */
    @Test
    fun `explain accepts both query forms and rejects others`() {
        val completion = get("/operator/explain?model=m&prompt_tokens=900&priority=4")
        val service = get("/operator/explain?service=booking&operation=create")
        expectThat(json(completion).keys).isEqualTo(setOf("decision", "candidates"))
        expectThat(service.status().code()).isEqualTo(503)
        expectThat(json(service).getValue("error").jsonObject.getValue("reason").toString())
            .isEqualTo("\"no_backend_server\"")
        expectThat(view.queries).containsExactly(
            ExplainQuery.Completion(ModelId("m"), 900, 4),
            ExplainQuery.Service("booking", "create"),
        )
        val invalidQueries = listOf(
            "",
            "?model=m",
            "?model=m&prompt_tokens=x&priority=1",
            "?model=m&prompt_tokens=1&priority=10",
            "?service=s",
            "?model=m&service=s&prompt_tokens=1&operation=o",
            "?model=m&prompt_tokens=0&priority=1",
        )
        for (query in invalidQueries) {
            expectThat(get("/operator/explain$query").status().code()).describedAs(query).isEqualTo(400)
        }
    }

    /** Guards against a GET request that starts a drain or clears the quarantine. */
    @Test
    fun `changes require POST or DELETE`() {
        expectThat(get("/operator/drain").status().code()).isEqualTo(405)
        expectThat(view.drained).isEqualTo(false)
        expectThat(send(HttpMethod.POST, "/operator/drain").status().code()).isEqualTo(202)
        expectThat(view.drained).isTrue()

        val listed = json(get("/operator/quarantine")).getValue("quarantined").jsonArray.single().jsonObject
        expectThat(listed.keys).isEqualTo(setOf("digest", "servers", "until_epoch_millis"))
        expectThat(json(send(HttpMethod.DELETE, "/operator/quarantine")).toString()).isEqualTo("""{"cleared":1}""")
    }

    /** Guards against counters that tools cannot read as a flat JSON object. */
    @Test
    fun `counters are a JSON object and metrics are Prometheus text`() {
        expectThat(get("/operator/counters").contentUtf8())
            .isEqualTo("""{"refusals{outcome=not_run,reason=capacity}":2.0}""")
        expectThat(get("/metrics").contentUtf8()).isEqualTo("metric 1\n")
        expectThat(get("/metrics").headers().get("content-type")).isEqualTo("text/plain; version=0.0.4; charset=utf-8")
    }

    private fun get(path: String): AggregatedHttpResponse = send(HttpMethod.GET, path)

    private fun send(method: HttpMethod, path: String): AggregatedHttpResponse =
        client.execute(com.linecorp.armeria.common.HttpRequest.of(method, path)).aggregate().join()

    private fun json(response: AggregatedHttpResponse): JsonObject =
        Json.parseToJsonElement(response.contentUtf8()).jsonObject

    private class StubView : OperatorView {
        @Volatile
        var healthy = true

        @Volatile
        var ready = false

        @Volatile
        var hangs = false

        @Volatile
        var drained = false
        val queries = CopyOnWriteArrayList<ExplainQuery>()

        override suspend fun isHealthy(): Boolean = if (hangs) awaitCancellation() else healthy

        override suspend fun isReady(): Boolean = ready

        override suspend fun status() = StatusReply(
            instance = InstanceAddress("10.0.0.1:1"),
            incarnation = Incarnation(7),
            entryAddress = "10.0.0.1:2",
            operatorAddress = "10.0.0.1:3",
            failureDomain = FailureDomainId("plateau"),
            state = "serving",
            revision = RevisionNumber(3),
            digest = null,
            candidateRevision = null,
            conflicts = 0,
            peers = listOf(
                PeerStatus(
                    instance = InstanceAddress("10.0.0.2:1"),
                    operatorAddress = "10.0.0.2:3",
                    failureDomain = FailureDomainId("rufisque"),
                    state = "serving",
                    revision = null,
                    digest = null,
                    reachable = true,
                ),
            ),
            servers = listOf(ServerStatus(BackendServerId("10.0.0.9:1"), PoolId("decode"), "live", 3, 26_000, false)),
        )

        override suspend fun explain(query: ExplainQuery): Result<ExplainReply, RefusalReason> {
            queries += query
            return if (query is ExplainQuery.Completion) {
                Ok(ExplainReply("10.0.0.9:1", emptyList()))
            } else {
                Err(RefusalReason.NO_BACKEND_SERVER)
            }
        }

        override suspend fun drain() {
            drained = true
        }

        override suspend fun quarantine() =
            listOf(QuarantinedDigest(ContentDigest("d"), listOf(BackendServerId("10.0.0.9:1")), Timestamp(5)))

        override suspend fun clearQuarantine(): Int = 1

        override suspend fun counters() = listOf(CounterValue("refusals{outcome=not_run,reason=capacity}", 2.0))

        override suspend fun metrics(): String = "metric 1\n"
    }
}
