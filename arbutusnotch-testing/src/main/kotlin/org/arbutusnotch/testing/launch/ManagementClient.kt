/*
 * Calls the management interfaces of emulators and the operator interface of instances.
 */
package org.arbutusnotch.testing.launch

import com.linecorp.armeria.client.ClientFactory
import com.linecorp.armeria.client.WebClient
import com.linecorp.armeria.common.AggregatedHttpResponse
import com.linecorp.armeria.common.HttpData
import com.linecorp.armeria.common.HttpMethod
import com.linecorp.armeria.common.HttpRequest
import com.linecorp.armeria.common.HttpStatus
import com.linecorp.armeria.common.MediaType
import com.linecorp.armeria.common.RequestHeaders
import org.arbutusnotch.testing.http.wireJson
import java.util.concurrent.CompletableFuture
import java.util.concurrent.ExecutionException
import java.util.concurrent.TimeUnit
import java.util.concurrent.TimeoutException
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Sends requests and blocks until their responses arrive. */
internal class ManagementClient : AutoCloseable {
    private val factory = ClientFactory.builder().workerGroup(1).connectTimeoutMillis(CONNECT_TIMEOUT_MILLIS).build()
    private val client = WebClient.builder().factory(factory).maxResponseLength(0).build()

    /** Sends a GET request and returns the response; null when the connection fails or [timeout] passes. */
    fun get(address: String, path: String, timeout: Duration = TIMEOUT): AggregatedHttpResponse? =
        await(client.execute(RequestHeaders.of(HttpMethod.GET, "h1c://$address$path")).aggregate(), timeout)

    /** Sends [body] as JSON and returns the response; null when the connection fails or the timeout passes. */
    fun send(method: HttpMethod, address: String, path: String, body: ByteArray): AggregatedHttpResponse? {
        val headers = RequestHeaders.builder(method, "h1c://$address$path").contentType(MediaType.JSON).build()
        return await(client.execute(HttpRequest.of(headers, HttpData.wrap(body))).aggregate(), TIMEOUT)
    }

    /** Sends a GET request and decodes its response as JSON; null when there is no response with status 200. */
    inline fun <reified T> read(address: String, path: String): T? = get(address, path)?.takeIf {
        it.status() == HttpStatus.OK
    }?.let { wireJson.decodeFromString<T>(it.contentUtf8()) }

    override fun close(): Unit = factory.close()

    private fun await(response: CompletableFuture<AggregatedHttpResponse>, timeout: Duration): AggregatedHttpResponse? =
        try {
            response.get(timeout.inWholeMilliseconds, TimeUnit.MILLISECONDS)
        } catch (_: ExecutionException) {
            null
        } catch (_: TimeoutException) {
            null
        }

    private companion object {
        const val CONNECT_TIMEOUT_MILLIS = 1_000L
        val TIMEOUT = 5.seconds
    }
}
