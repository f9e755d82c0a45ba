/*
 * Tests of the service client with servers that respond.
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
import org.arbutusnotch.daemon.distantDeadline
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

    /** Guards against a body or header modified in transit: the service would receive a different request. */
    @Test
    fun `body and headers reach the service unchanged`() = test {
        val requests = CopyOnWriteArrayList<AggregatedHttpRequest>()
        val body = ByteArray(256) { it.toByte() }
        val server = TestServer {
            service("/call/{operation}") { _, request ->
                HttpResponse.of(
                    request.aggregate().thenApply {
                        requests += it
                        HttpResponse.of(HttpStatus.CREATED, MediaType.OCTET_STREAM, it.content())
                    },
                )
            }
        }
        server.use {
            val response = ServiceClient(factory).call(server.id, call(body)).get()

            expectThat(response).isNotNull().and {
                get { status }.isEqualTo(201)
                get { contentType }.isEqualTo("application/octet-stream")
                get { this.body.toList() }.isEqualTo(body.toList())
            }
            val request = requests.single()
            expectThat(request.path()).isEqualTo("/call/check%20in")
            expectThat(request.headers().get("x-attempt")).isEqualTo("10.0.0.1:1/7/3")
            expectThat(request.headers().get("idempotency-key")).isEqualTo("prefix.key")
            expectThat(request.headers().get("content-type")).isEqualTo("application/x-custom")
        }
    }

    /** Guards against a complete error response that is reported as a failure and not returned to the caller. */
    @Test
    fun `an error status is a complete response`() = test {
        TestServer { service("/call/{operation}") { _, _ -> HttpResponse.of(HttpStatus.INTERNAL_SERVER_ERROR) } }
            .use { server ->
                val response = ServiceClient(factory).call(server.id, call(ByteArray(0))).get()

                expectThat(response?.status).isEqualTo(500)
            }
    }

    /** Guards against a retry time that is lost when a service is full. */
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

    /** Guards against a response that exhausts the memory of the instance. */
    @Test
    fun `a response over the size limit is malformed`() = test {
        val body = HttpData.wrap(ByteArray(2_000))
        TestServer { service("/call/{operation}") { _, _ -> HttpResponse.of(HttpStatus.OK, MediaType.JSON, body) } }
            .use { server ->
                val limited = ServiceClient(factory, maximumResponseBytes = 1_000)

                expectThat(limited.call(server.id, call(ByteArray(0))).getError()).isA<BackendError.Malformed>()
            }
    }

    /** Guards against a load report that is decoded wrongly. */
    @Test
    fun `the load report is decoded`() = test {
        val report = """{"as_of_epoch_millis":5,"active":2,"waiting":1,"capacity":20,"other":"ignored"}"""
        TestServer { service("/service/load") { _, _ -> HttpResponse.of(MediaType.JSON, report) } }.use { server ->
            val load = ServiceClient(factory).load(server.id, distantDeadline())

            expectThat(load).isEqualTo(Ok(ServiceLoad(Timestamp(5), active = 2, waiting = 1, capacity = 20)))
        }
    }

    /** Guards against an invalid load report that ends the polling of a server. */
    @Test
    fun `a load report that is not JSON is malformed`() = test {
        TestServer { service("/service/load") { _, _ -> HttpResponse.of("busy") } }.use { server ->
            expectThat(ServiceClient(factory).load(server.id, distantDeadline()))
                .isEqualTo(Err(BackendError.Malformed("busy")))
        }
    }

    private fun call(body: ByteArray, deadline: Timestamp = distantDeadline()) = ServiceCall(
        operation = "check in",
        attempt = AttemptId("10.0.0.1:1/7/3"),
        body = body,
        deadline = deadline,
        idempotencyKey = "prefix.key",
        contentType = "application/x-custom",
    )
}
