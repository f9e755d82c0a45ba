/*
 * Reads the operators' file and the instance list from the platform.
 *
 * The platform may be down, slow, stale or over its rate limit for long; no answer ends a watch.
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
import org.arbutusnotch.daemon.backend.parse
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/**
 * Holds the pace of a [PlatformClient].
 *
 * @property configurationWait time that the platform holds an unanswered poll of the configuration
 * @property answerTimeout time for an answer, added to the time that the platform may wait
 * @property leastChangedInterval least time between polls while the platform returns new versions
 * @property leastUnchangedInterval least time between polls that bring nothing new, for a platform that does not wait
 * @property instanceInterval time between polls of the instance list, scattered by a fifth either way
 * @property firstBackoff wait after the first failure; it doubles with each further failure
 * @property maximumBackoff longest wait after a failure
 * @property configurationBytes largest value that the platform may hold
 * @property instanceListBytes largest instance list that is read
 */
public data class PlatformPace(
    public val configurationWait: Duration = 25.seconds,
    public val answerTimeout: Duration = 5.seconds,
    public val leastChangedInterval: Duration = 100.milliseconds,
    public val leastUnchangedInterval: Duration = 1.seconds,
    public val instanceInterval: Duration = 5.seconds,
    public val firstBackoff: Duration = 200.milliseconds,
    public val maximumBackoff: Duration = 10.seconds,
    public val configurationBytes: Long = MAXIMUM_VALUE_BYTES,
    public val instanceListBytes: Long = MAXIMUM_VALUE_BYTES,
) {
    public companion object {
        /** Largest value of the platform. */
        public const val MAXIMUM_VALUE_BYTES: Long = 1024L * 1024
    }
}

/** Watches the platform at [address], in the form `host:port`. */
public class PlatformClient(
    private val address: String,
    factory: ClientFactory,
    private val pace: PlatformPace = PlatformPace(),
    private val random: Random = Random.Default,
    private val clock: () -> Timestamp = { Timestamp(System.currentTimeMillis()) },
) {
    private val client = WebClient.builder().factory(factory).build()

    /** Returns the outcome of every poll of the configuration after [after]. The flow ends only with its collector. */
    public fun watchConfiguration(after: StoreVersion = StoreVersion.NONE): Flow<ConfigurationUpdate> = flow {
        val backoff = newBackoff()
        val position = WatchPosition(after)
        while (true) {
            val started = TimeSource.Monotonic.markNow()
            val answer = readConfiguration(position)
            val pause = answer.fold(success = { pauseAfter(it, backoff) }, failure = { backoff.wait() })
            emit(answer.fold(success = { it }, failure = { ConfigurationUpdate.Failed(it, clock() + pause) }))
            delay(if (answer.isOk) pause - started.elapsedNow() else pause)
        }
    }

    /** Returns the outcome of every poll of the instance list. The flow ends only with its collector. */
    public fun watchInstances(): Flow<InstanceListUpdate> = flow {
        val backoff = newBackoff()
        while (true) {
            val answer = readInstances()
            if (answer.isOk) backoff.reset()
            val pause = if (answer.isOk) scattered(pace.instanceInterval) else backoff.wait()
            emit(answer.fold(success = { it }, failure = { InstanceListUpdate.Failed(it, clock() + pause) }))
            delay(pause)
        }
    }

    private fun newBackoff() = Backoff(pace.firstBackoff, pace.maximumBackoff, random)

    private fun pauseAfter(update: ConfigurationUpdate, backoff: Backoff): Duration {
        // A platform that alternates between old and new state would otherwise be polled without a pause.
        if (update is ConfigurationUpdate.Content && update.stale) return backoff.wait()
        backoff.reset()
        val changed = update is ConfigurationUpdate.Content
        return scattered(if (changed) pace.leastChangedInterval else pace.leastUnchangedInterval)
    }

    private fun scattered(interval: Duration): Duration = interval * random.nextDouble(1 - JITTER, 1 + JITTER)

    private suspend fun readConfiguration(position: WatchPosition): Result<ConfigurationUpdate, PlatformError> {
        val wait = pace.configurationWait
        val path = "/platform/config?after=${position.after}&wait_millis=${wait.inWholeMilliseconds}"
        return exchange(path, wait + pace.answerTimeout, pace.configurationBytes, position::skip)
            .andThen { response -> toUpdate(response, position) }
    }

    private fun toUpdate(
        response: AggregatedHttpResponse,
        position: WatchPosition,
    ): Result<ConfigurationUpdate, PlatformError> {
        if (response.status() == HttpStatus.NOT_MODIFIED) return Ok(ConfigurationUpdate.Unchanged)
        if (response.status() != HttpStatus.OK) return Err(statusError(response.status()))
        val version = storeVersion(response.headers())
            ?: return Err(PlatformError.Malformed("$STORE_VERSION is missing or not a number"))
        if (version == position.after) return Ok(ConfigurationUpdate.Unchanged)
        val stale = position.advance(version)
        return Ok(ConfigurationUpdate.Content(version, response.content().array(), stale))
    }

    private suspend fun readInstances(): Result<InstanceListUpdate, PlatformError> =
        exchange("/platform/instances", pace.answerTimeout, pace.instanceListBytes).andThen { response ->
            val body = response.contentUtf8()
            val reply = parse(InstanceListReply.serializer(), body)
            when {
                response.status() != HttpStatus.OK -> Err(statusError(response.status()))
                reply == null -> Err(PlatformError.Malformed(body.take(DETAIL_CHARACTERS)))
                else -> Ok(reply.toUpdate())
            }
        }

    /** Returns the complete answer; [onTooLarge] learns the store version of an answer over [maximumBytes]. */
    @Suppress("TooGenericExceptionCaught")
    private suspend fun exchange(
        path: String,
        timeout: Duration,
        maximumBytes: Long,
        onTooLarge: (StoreVersion) -> Unit = {},
    ): Result<AggregatedHttpResponse, PlatformError> {
        val options = RequestOptions.builder()
            .responseTimeoutMillis(timeout.inWholeMilliseconds)
            .maxResponseLength(maximumBytes)
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
        headers.get(STORE_VERSION)?.toLongOrNull()?.let(::StoreVersion)

    private fun statusError(status: HttpStatus): PlatformError = if (status ==
        HttpStatus.TOO_MANY_REQUESTS
    ) {
        PlatformError.RateLimited
    } else {
        PlatformError.FailedStatus(status.code())
    }

    private companion object {
        const val STORE_VERSION = "x-store-version"
        const val JITTER = 0.2
        const val DETAIL_CHARACTERS = 200
    }
}

/** Holds the store version that a watch asks for, and the highest seen. */
private class WatchPosition(var after: StoreVersion) {
    private var highest = after

    /** Moves on to [version] and returns whether it is older than one seen before. */
    fun advance(version: StoreVersion): Boolean {
        after = version
        val stale = version < highest
        highest = maxOf(highest, version)
        return stale
    }

    /** Moves past [version], whose value is too large, so that it is not transferred again with each poll. */
    fun skip(version: StoreVersion) {
        advance(version)
    }
}
