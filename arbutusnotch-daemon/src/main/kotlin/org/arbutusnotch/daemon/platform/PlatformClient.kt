/*
 * Polls the platform for the operators' file and the instance list.
 *
 * The platform may be down, slow, stale or over its rate limit for a long time; no response or failure ends a watch.
 */
package org.arbutusnotch.daemon.platform

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.andThen
import com.github.michaelbull.result.fold
import com.linecorp.armeria.client.ClientFactory
import com.linecorp.armeria.client.ClientRequestContext
import com.linecorp.armeria.client.Clients
import com.linecorp.armeria.client.RequestOptions
import com.linecorp.armeria.client.ResponseTimeoutException
import com.linecorp.armeria.client.WebClient
import com.linecorp.armeria.common.AggregatedHttpResponse
import com.linecorp.armeria.common.ContentTooLargeException
import com.linecorp.armeria.common.HttpHeaders
import com.linecorp.armeria.common.HttpMethod
import com.linecorp.armeria.common.HttpRequest
import com.linecorp.armeria.common.HttpStatus
import com.linecorp.armeria.common.logging.RequestLogProperty
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.delay
import kotlinx.coroutines.ensureActive
import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.flow.flow
import kotlinx.coroutines.future.await
import org.arbutusnotch.core.time.Timestamp
import org.arbutusnotch.daemon.backend.decodeJsonOrNull
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/**
 * Holds the intervals, timeouts and size limits of a [PlatformClient].
 *
 * @property longPollTimeout time for which the platform holds a poll of the configuration open while nothing changes
 * @property responseTimeout time limit for a response, in addition to [longPollTimeout] for polls of the configuration
 * @property minimumChangedInterval minimum time between polls while the platform returns new versions
 * @property minimumUnchangedInterval minimum time between polls that return nothing new, for a platform that does not
 * hold polls open
 * @property instanceListInterval time between polls of the instance list, with a jitter of 20% in either direction
 * @property initialBackoff delay after the first failure; it doubles with each further failure
 * @property maximumBackoff longest delay after a failure
 * @property maximumConfigurationBytes largest operators' file that is read
 * @property maximumInstanceListBytes largest instance list that is read
 */
public data class PlatformPolling(
    public val longPollTimeout: Duration = 25.seconds,
    public val responseTimeout: Duration = 5.seconds,
    public val minimumChangedInterval: Duration = 100.milliseconds,
    public val minimumUnchangedInterval: Duration = 1.seconds,
    public val instanceListInterval: Duration = 5.seconds,
    public val initialBackoff: Duration = 200.milliseconds,
    public val maximumBackoff: Duration = 10.seconds,
    public val maximumConfigurationBytes: Long = MAXIMUM_VALUE_BYTES,
    public val maximumInstanceListBytes: Long = MAXIMUM_VALUE_BYTES,
) {
    public companion object {
        /** Largest value that the platform stores. */
        public const val MAXIMUM_VALUE_BYTES: Long = 1024L * 1024
    }
}

/** Watches the platform at [address], in the form `host:port`. */
public class PlatformClient(
    private val address: String,
    factory: ClientFactory,
    private val polling: PlatformPolling = PlatformPolling(),
    private val random: Random = Random.Default,
    private val clock: () -> Timestamp = { Timestamp(System.currentTimeMillis()) },
) {
    private val client = WebClient.builder().factory(factory).build()

    /**
     * Returns the result of every poll of the configuration for versions after [after]. The flow never completes on its
     * own.
     */
    public fun watchConfiguration(after: StoreVersion = StoreVersion.NONE): Flow<ConfigurationUpdate> = flow {
        val backoff = newBackoff()
        val position = WatchPosition(after)
        while (true) {
            val started = TimeSource.Monotonic.markNow()
            val result = readConfiguration(position)
            val interval = result.fold(success = { intervalAfter(it, backoff) }, failure = { backoff.nextDelay() })
            emit(result.fold(success = { it }, failure = { ConfigurationUpdate.Failed(it, clock() + interval) }))
            delay(if (result.isOk) interval - started.elapsedNow() else interval)
        }
    }

    /** Returns the result of every poll of the instance list. The flow never completes on its own. */
    public fun watchInstances(): Flow<InstanceListUpdate> = flow {
        val backoff = newBackoff()
        while (true) {
            val result = readInstances()
            if (result.isOk) backoff.reset()
            val interval = if (result.isOk) jittered(polling.instanceListInterval) else backoff.nextDelay()
            emit(result.fold(success = { it }, failure = { InstanceListUpdate.Failed(it, clock() + interval) }))
            delay(interval)
        }
    }

    private fun newBackoff() = Backoff(polling.initialBackoff, polling.maximumBackoff, random)

    private fun intervalAfter(update: ConfigurationUpdate, backoff: Backoff): Duration {
        // Otherwise a platform that alternates between old and new state would be polled continuously.
        if (update is ConfigurationUpdate.Content && update.stale) return backoff.nextDelay()
        backoff.reset()
        val changed = update is ConfigurationUpdate.Content
        return jittered(if (changed) polling.minimumChangedInterval else polling.minimumUnchangedInterval)
    }

    private fun jittered(interval: Duration): Duration =
        interval * random.nextDouble(1 - JITTER_FRACTION, 1 + JITTER_FRACTION)

    private suspend fun readConfiguration(position: WatchPosition): Result<ConfigurationUpdate, PlatformError> {
        val timeout = polling.longPollTimeout
        val path = "/platform/config?after=${position.after}&wait_millis=${timeout.inWholeMilliseconds}"
        return exchange(path, timeout + polling.responseTimeout, polling.maximumConfigurationBytes, position::skip)
            .andThen { response -> toUpdate(response, position) }
    }

    private fun toUpdate(
        response: AggregatedHttpResponse,
        position: WatchPosition,
    ): Result<ConfigurationUpdate, PlatformError> {
        if (response.status() == HttpStatus.NOT_MODIFIED) return Ok(ConfigurationUpdate.Unchanged)
        if (response.status() != HttpStatus.OK) return Err(statusError(response.status()))
        val version = storeVersion(response.headers())
            ?: return Err(PlatformError.Malformed("header $STORE_VERSION_HEADER is missing or not a number"))
        if (version == position.after) return Ok(ConfigurationUpdate.Unchanged)
        val stale = position.advance(version)
        return Ok(ConfigurationUpdate.Content(version, response.content().array(), stale))
    }

    private suspend fun readInstances(): Result<InstanceListUpdate, PlatformError> =
        exchange("/platform/instances", polling.responseTimeout, polling.maximumInstanceListBytes).andThen { response ->
            val body = response.contentUtf8()
            val reply = decodeJsonOrNull(InstanceListReply.serializer(), body)
            when {
                response.status() != HttpStatus.OK -> Err(statusError(response.status()))
                reply == null -> Err(PlatformError.Malformed(body.take(MAXIMUM_DETAIL_CHARACTERS)))
                else -> Ok(reply.toUpdate())
            }
        }

    /**
     * Sends a GET request for [path] and returns the complete response.
     *
     * @param onTooLarge called with the store version of a response over [maximumResponseBytes]
     */
    @Suppress("TooGenericExceptionCaught")
    private suspend fun exchange(
        path: String,
        timeout: Duration,
        maximumResponseBytes: Long,
        onTooLarge: (StoreVersion) -> Unit = {},
    ): Result<AggregatedHttpResponse, PlatformError> {
        val options = RequestOptions.builder()
            .responseTimeoutMillis(timeout.inWholeMilliseconds)
            .maxResponseLength(maximumResponseBytes)
            .build()
        val request = HttpRequest.of(HttpMethod.GET, "h1c://$address$path")
        val captor = Clients.newContextCaptor()
        val response = captor.use { client.execute(request, options) }
        return try {
            Ok(response.aggregate().await())
        } catch (failure: Exception) {
            currentCoroutineContext().ensureActive()
            val error = classify(failure, captor.getOrNull())
            if (error is PlatformError.TooLarge) error.version?.let(onTooLarge)
            Err(error)
        } finally {
            response.abort()
        }
    }

    private fun classify(failure: Throwable, context: ClientRequestContext?): PlatformError {
        val causes = generateSequence(failure) { it.cause }.toList()
        return when {
            causes.any { it is ContentTooLargeException } -> PlatformError.TooLarge(receivedVersion(context))
            causes.any { it is ResponseTimeoutException } -> PlatformError.TimedOut
            else -> PlatformError.Unreachable(causes.last().toString())
        }
    }

    private fun receivedVersion(context: ClientRequestContext?): StoreVersion? =
        context?.log()?.getIfAvailable(RequestLogProperty.RESPONSE_HEADERS)?.let { storeVersion(it.responseHeaders()) }

    private fun storeVersion(headers: HttpHeaders): StoreVersion? =
        headers.get(STORE_VERSION_HEADER)?.toLongOrNull()?.let(::StoreVersion)

    private fun statusError(status: HttpStatus): PlatformError = if (status ==
        HttpStatus.TOO_MANY_REQUESTS
    ) {
        PlatformError.RateLimited
    } else {
        PlatformError.FailedStatus(status.code())
    }

    private companion object {
        const val STORE_VERSION_HEADER = "x-store-version"
        const val JITTER_FRACTION = 0.2
        const val MAXIMUM_DETAIL_CHARACTERS = 200
    }
}

/** Holds the store version after which a watch polls next, and the highest version received. */
private class WatchPosition(var after: StoreVersion) {
    private var highestVersion = after

    /** Advances to [version] and returns whether a higher version was received before. */
    fun advance(version: StoreVersion): Boolean {
        after = version
        val stale = version < highestVersion
        highestVersion = maxOf(highestVersion, version)
        return stale
    }

    /** Skips [version], whose value is too large, so that it is not transferred again with each poll. */
    fun skip(version: StoreVersion) {
        advance(version)
    }
}
