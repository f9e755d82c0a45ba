/*
 * How a caller finds an instance: it asks any instance for the list of entry points and keeps it until it expires.
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

/** Answers `GET /v1/entry-points`. */
@Serializable
public data class EntryPoints(
    public val entryPoints: List<String>,
    public val validUntilEpochMillis: Long,
    public val issuerPrefix: String? = null,
)

/** Keeps the entry points of one [station]; [bootstrap] holds the addresses that callers know beforehand. */
internal class EntryPointDirectory(
    private val client: WebClient,
    private val station: String,
    private val bootstrap: List<String>,
) {
    private val mutex = Mutex()
    private val next = AtomicInteger(station.hashCode() and Int.MAX_VALUE)

    @Volatile
    private var current: EntryPoints? = null

    /** Returns the list, asking for a new one when it has expired; null when no instance answers. */
    suspend fun entryPoints(): EntryPoints? = mutex.withLock {
        val known = current?.takeIf { it.validUntilEpochMillis > System.currentTimeMillis() }
        known ?: ask().also { current = it }
    }

    /** Forgets the list, after none of its addresses answered. */
    fun forget() {
        current = null
    }

    private suspend fun ask(): EntryPoints? {
        val last = current?.entryPoints.orEmpty()
        val start = next.getAndIncrement() % bootstrap.size
        val others = bootstrap.indices.map { bootstrap[(start + it) % bootstrap.size] }
        return (last + others).distinct().firstNotNullOfOrNull { ask(it) }
    }

    private suspend fun ask(address: String): EntryPoints? = withTimeoutOrNull(ASK_TIMEOUT) {
        // Lists differ by caller. All stations have the same address on loopback, so each gives a name of its own;
        // the call needs no valid key.
        val headers = RequestHeaders.builder(HttpMethod.GET, "h1c://$address/v1/entry-points")
            .add("authorization", "Bearer $station")
            .build()
        val answer = runCatching { client.execute(headers).aggregate().await() }.getOrNull()
        answer?.takeIf { it.status() == HttpStatus.OK }
            ?.let { wireJson.decodeFromString<EntryPoints>(it.contentUtf8()) }
            ?.takeIf { it.entryPoints.isNotEmpty() }
    }

    private companion object {
        val ASK_TIMEOUT = 1.seconds
    }
}
