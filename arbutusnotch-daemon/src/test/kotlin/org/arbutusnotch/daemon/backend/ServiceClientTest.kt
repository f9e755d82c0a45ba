/*
 * Calls of plain services that answer.
 */
package org.arbutusnotch.daemon.backend

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.get
import com.github.michaelbull.result.getError
import com.linecorp.armeria.client.ClientFactory
import com.linecorp.armeria.common.AggregatedHttpRequest
import com.linecorp.armeria.common.HttpData
import com.linecorp.armeria.common.HttpResponse
import com.linecorp.armeria.common.HttpStatus
import com.linecorp.armeria.common.MediaType
import com.linecorp.armeria.common.ResponseHeaders
import org.arbutusnotch.core.id.AttemptId
import org.arbutusnotch.core.time.Timestamp
import org.arbutusnotch.daemon.TestServer
import org.arbutusnotch.daemon.ample
import org.arbutusnotch.daemon.test
import org.junit.jupiter.api.AfterAll
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestInstance
import strikt.api.expectThat
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isNotNull
import java.util.concurrent.CopyOnWriteArrayList
import kotlin.time.Duration.Companion.seconds

@TestInstance(TestInstance.Lifecycle.PER_CLASS)
class ServiceClientTest {
    private val factory: ClientFactory = backendClientFactory()
    private val clock = { Timestamp(1_000) }

    @AfterAll
    fun closeFactory() = factory.close()

    /** Guards against a body or header that is changed on the way: the service would see another request. */
    @Test
    fun `body and headers reach the service unchanged`() = test {
        val seen = CopyOnWriteArrayList<AggregatedHttpRequest>()
        val body = ByteArray(256) { it.toByte() }
        val server = TestServer {
            service("/call/{operation}") { _, request ->
                HttpResponse.of(
                    request.aggregate().thenApply {
                        seen += it
                        HttpResponse.of(HttpStatus.CREATED, MediaType.OCTET_STREAM, it.content())
                    },
                )
            }
        }
        server.use {
            val answer = ServiceClient(factory).call(server.id, call(body)).get()

            expectThat(answer).isNotNull().and {
                get { status }.isEqualTo(201)
                get { contentType }.isEqualTo("application/octet-stream")
                get { this.body.toList() }.isEqualTo(body.toList())
            }
            val request = seen.single()
            expectThat(request.path()).isEqualTo("/call/check%20in")
            expectThat(request.headers().get("x-attempt")).isEqualTo("10.0.0.1:1/7/3")
            expectThat(request.headers().get("idempotency-key")).isEqualTo("prefix.key")
            expectThat(request.headers().get("content-type")).isEqualTo("application/x-custom")
        }
    }

    /** Guards against a complete error answer of a service that is reported as a failure: it is the caller's answer. */
    @Test
    fun `an error status is an answer`() = test {
        TestServer { service("/call/{operation}") { _, _ -> HttpResponse.of(HttpStatus.INTERNAL_SERVER_ERROR) } }
            .use { server ->
                val answer = ServiceClient(factory).call(server.id, call(ByteArray(0))).get()

                expectThat(answer?.status).isEqualTo(500)
            }
    }

    /** Guards against a lost retry time of a full service. */
    @Test
    fun `a full service is reported with its retry time`() = test {
        val full = ResponseHeaders.of(HttpStatus.TOO_MANY_REQUESTS, "retry-after", "2")
        TestServer { service("/call/{operation}") { _, _ -> HttpResponse.of(full) } }.use { server ->
            val error = ServiceClient(factory, clock = clock)
                .call(server.id, call(ByteArray(0), Timestamp(30_000)))
                .getError()

            expectThat(error).isEqualTo(BackendError.RefusedFull(Timestamp(1_000) + 2.seconds))
        }
    }

    /** Guards against an answer that takes the memory of the instance. */
    @Test
    fun `an answer over the limit is malformed`() = test {
        val answer = HttpData.wrap(ByteArray(2_000))
        TestServer { service("/call/{operation}") { _, _ -> HttpResponse.of(HttpStatus.OK, MediaType.JSON, answer) } }
            .use { server ->
                val limited = ServiceClient(factory, maximumAnswerBytes = 1_000)

                expectThat(limited.call(server.id, call(ByteArray(0))).getError()).isA<BackendError.Malformed>()
            }
    }

    /** Guards against a load report that is misread. */
    @Test
    fun `the load report is read`() = test {
        val report = """{"as_of_epoch_millis":5,"active":2,"waiting":1,"capacity":20,"other":"ignored"}"""
        TestServer { service("/service/load") { _, _ -> HttpResponse.of(MediaType.JSON, report) } }.use { server ->
            val load = ServiceClient(factory).load(server.id, ample())

            expectThat(load).isEqualTo(Ok(ServiceLoad(Timestamp(5), active = 2, waiting = 1, capacity = 20)))
        }
    }

    /** Guards against a report that is not JSON and ends the polling of a server. */
    @Test
    fun `a load report that is not JSON is malformed`() = test {
        TestServer { service("/service/load") { _, _ -> HttpResponse.of("busy") } }.use { server ->
            expectThat(ServiceClient(factory).load(server.id, ample())).isEqualTo(Err(BackendError.Malformed("busy")))
        }
    }

    private fun call(body: ByteArray, deadline: Timestamp = ample()) = ServiceCall(
        operation = "check in",
        attempt = AttemptId("10.0.0.1:1/7/3"),
        body = body,
        deadline = deadline,
        idempotencyKey = "prefix.key",
        contentType = "application/x-custom",
    )
}
