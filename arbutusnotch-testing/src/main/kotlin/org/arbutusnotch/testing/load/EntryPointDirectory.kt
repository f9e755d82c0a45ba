/*
 * Discovery of instances: a caller fetches the list of entry points from any instance and caches it until it expires.
 */
package org.arbutusnotch.testing.load

import com.linecorp.armeria.client.WebClient
import com.linecorp.armeria.common.HttpMethod
import com.linecorp.armeria.common.HttpStatus
import com.linecorp.armeria.common.RequestHeaders
import kotlinx.coroutines.future.await
import kotlinx.coroutines.sync.Mutex
import kotlinx.coroutines.sync.withLock
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.serialization.Serializable
import org.arbutusnotch.testing.http.wireJson
import java.util.concurrent.atomic.AtomicInteger
import kotlin.time.Duration.Companion.seconds

/** Represents the body of the response to `GET /v1/entry-points`. */
@Serializable
public data class EntryPoints(
    public val entryPoints: List<String>,
    public val validUntilEpochMillis: Long,
    public val issuerPrefix: String? = null,
)

/**
 * Caches the entry points of one device.
 *
 * @param deviceName name of the device, sent as its bearer key
 * @param bootstrap entry addresses that callers know beforehand
 */
internal class EntryPointDirectory(
    private val client: WebClient,
    private val deviceName: String,
    private val bootstrap: List<String>,
) {
    private val mutex = Mutex()
    private val next = AtomicInteger(deviceName.hashCode() and Int.MAX_VALUE)

    @Volatile
    private var current: EntryPoints? = null

    /** Returns the cached list, or fetches a new one when it has expired; null when no instance answers. */
    suspend fun entryPoints(): EntryPoints? = mutex.withLock {
        val unexpired = current?.takeIf { it.validUntilEpochMillis > System.currentTimeMillis() }
        unexpired ?: fetch().also { current = it }
    }

    /** Discards the list after none of its addresses answered. */
    fun invalidate() {
        current = null
    }

    private suspend fun fetch(): EntryPoints? {
        val previous = current?.entryPoints.orEmpty()
        val start = next.getAndIncrement() % bootstrap.size
        val bootstrapOrder = bootstrap.indices.map { bootstrap[(start + it) % bootstrap.size] }
        return (previous + bootstrapOrder).distinct().firstNotNullOfOrNull { fetch(it) }
    }

    private suspend fun fetch(address: String): EntryPoints? = withTimeoutOrNull(FETCH_TIMEOUT) {
        // An instance orders the list by the authorization header, or by the client address without one. All devices
        // share the loopback address, so each sends its own name as the key; this route accepts any key.
        val headers = RequestHeaders.builder(HttpMethod.GET, "h1c://$address/v1/entry-points")
            .add("authorization", "Bearer $deviceName")
            .build()
        val response = runCatching { client.execute(headers).aggregate().await() }.getOrNull()
        response?.takeIf { it.status() == HttpStatus.OK }
            ?.let { wireJson.decodeFromString<EntryPoints>(it.contentUtf8()) }
            ?.takeIf { it.entryPoints.isNotEmpty() }
    }

    private companion object {
        val FETCH_TIMEOUT = 1.seconds
    }
}
