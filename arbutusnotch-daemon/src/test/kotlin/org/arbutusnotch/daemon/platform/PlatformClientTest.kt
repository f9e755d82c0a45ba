/*
 * Tests of the platform client with a platform that changes, fails or returns stale state.
 */
package org.arbutusnotch.daemon.platform

import com.linecorp.armeria.client.ClientFactory
import com.linecorp.armeria.common.HttpData
import com.linecorp.armeria.common.HttpResponse
import com.linecorp.armeria.common.HttpStatus
import com.linecorp.armeria.common.MediaType
import com.linecorp.armeria.common.ResponseHeaders
import kotlinx.coroutines.flow.filterIsInstance
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.flow.onEach
import kotlinx.coroutines.flow.take
import kotlinx.coroutines.flow.toList
import kotlinx.coroutines.launch
import org.arbutusnotch.core.id.FailureDomainId
import org.arbutusnotch.core.id.InstanceAddress
import org.arbutusnotch.core.message.PublishedInstance
import org.arbutusnotch.core.time.Timestamp
import org.arbutusnotch.daemon.TestServer
import org.arbutusnotch.daemon.awaitUntil
import org.arbutusnotch.daemon.backend.backendClientFactory
import org.arbutusnotch.daemon.test
import org.arbutusnotch.daemon.unusedAddress
import org.junit.jupiter.api.AfterAll
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestInstance
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThan
import strikt.assertions.isLessThanOrEqualTo
import strikt.assertions.map
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.atomic.AtomicInteger
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

@TestInstance(TestInstance.Lifecycle.PER_CLASS)
class PlatformClientTest {
    private val factory: ClientFactory = backendClientFactory()

    private val fastPolling = PlatformPolling(
        longPollTimeout = 200.milliseconds,
        responseTimeout = 10.seconds,
        minimumChangedInterval = 1.milliseconds,
        minimumUnchangedInterval = 1.milliseconds,
        instanceListInterval = 5.milliseconds,
        initialBackoff = 1.milliseconds,
        maximumBackoff = 10.milliseconds,
        maximumConfigurationBytes = 1_000,
    )

    @AfterAll
    fun closeFactory() = factory.close()

    /** Guards against a watch that reads a version twice or misses one. */
    @Test
    fun `each poll requests versions after the last one`() = test {
        val platform = ScriptedPlatform(value(3, "first"), HttpResponse.of(HttpStatus.NOT_MODIFIED), value(4, "second"))
        platform.use {
            val updates = client(platform).watchConfiguration().take(3).toList()

            expectThat(updates.filterIsInstance<ConfigurationUpdate.Content>()) {
                map { it.version }.containsExactly(StoreVersion(3), StoreVersion(4))
                map { String(it.bytes) }.containsExactly("first", "second")
                map { it.stale }.containsExactly(false, false)
            }
            expectThat(updates[1]).isEqualTo(ConfigurationUpdate.Unchanged)
            expectThat(platform.queries.take(3)).containsExactly(
                "after=0&wait_millis=200",
                "after=3&wait_millis=200",
                "after=3&wait_millis=200",
            )
        }
    }

    /** Guards against a failure that ends the watch: the instance would never receive another revision. */
    @Test
    fun `no failure ends the watch`() = test {
        val platform = ScriptedPlatform(
            HttpResponse.of(HttpStatus.SERVICE_UNAVAILABLE),
            HttpResponse.of(HttpStatus.TOO_MANY_REQUESTS),
            HttpResponse.of(HttpStatus.OK, MediaType.PLAIN_TEXT, "no version"),
            value("x", "no number"),
            HttpResponse.ofFailure(IllegalStateException("reset")),
            value(2, "x".repeat(2_000)),
            value(3, "after all"),
        )
        platform.use {
            val updates = client(platform).watchConfiguration().take(7).toList()

            val errors = updates.filterIsInstance<ConfigurationUpdate.Failed>().map { it.error }
            expectThat(errors[0]).isEqualTo(PlatformError.FailedStatus(503))
            expectThat(errors[1]).isEqualTo(PlatformError.RateLimited)
            expectThat(errors[2]).isA<PlatformError.Malformed>()
            expectThat(errors[3]).isA<PlatformError.Malformed>()
            expectThat(errors[5]).isEqualTo(PlatformError.TooLarge(StoreVersion(2)))
            expectThat(updates.last()).isA<ConfigurationUpdate.Content>().get { String(bytes) }.isEqualTo("after all")
        }
    }

    /** Guards against an oversized value that is transferred again with every poll. */
    @Test
    fun `an oversized value is skipped`() = test {
        val platform = ScriptedPlatform(value(2, "x".repeat(2_000)), value(3, "next"))
        platform.use {
            client(platform).watchConfiguration().take(2).toList()

            expectThat(platform.queries.take(2)).containsExactly("after=0&wait_millis=200", "after=2&wait_millis=200")
        }
    }

    /** Guards against waiting for a version that a platform may never reach after a restore from a backup. */
    @Test
    fun `an older version is returned as stale and polling continues from it`() = test {
        val platform = ScriptedPlatform(value(9, "new"), value(4, "old"), value(5, "newer than old"))
        platform.use {
            val updates = client(platform).watchConfiguration().take(3).toList()
                .filterIsInstance<ConfigurationUpdate.Content>()

            expectThat(updates.map { it.stale }).containsExactly(false, true, true)
            expectThat(platform.queries[2]).isEqualTo("after=4&wait_millis=200")
        }
    }

    /** Guards against continuous polling by every instance when the platform does not hold polls open. */
    @Test
    fun `polls keep the minimum interval when the platform does not hold them open`() = test {
        val platform = ScriptedPlatform(fallback = { HttpResponse.of(HttpStatus.NOT_MODIFIED) })
        platform.use {
            val started = TimeSource.Monotonic.markNow()
            client(
                platform,
                fastPolling.copy(minimumUnchangedInterval = 100.milliseconds),
            ).watchConfiguration().take(6).toList()

            // Five intervals of 100 ms, each shortened by at most 20%.
            expectThat(started.elapsedNow()).isGreaterThan(400.milliseconds)
        }
    }

    /** Guards against a poll that times out before the platform responds and has to be repeated. */
    @Test
    fun `a poll waits for a delayed response`() = test {
        val delayed = HttpResponse.delayed(value(1, "late"), java.time.Duration.ofMillis(150))
        ScriptedPlatform(delayed).use { platform ->
            val update = client(platform, fastPolling.copy(responseTimeout = 5.seconds)).watchConfiguration().first()

            expectThat(update).isA<ConfigurationUpdate.Content>()
        }
    }

    /** Guards against a poll that hangs forever when the platform never responds. */
    @Test
    fun `a poll without a response times out`() = test {
        val polling = fastPolling.copy(longPollTimeout = 50.milliseconds, responseTimeout = 50.milliseconds)
        ScriptedPlatform(fallback = { HttpResponse.streaming() }).use { platform ->
            val update = client(platform, polling).watchConfiguration().first()

            expectThat(update).isA<ConfigurationUpdate.Failed>().get { error }.isEqualTo(PlatformError.TimedOut)
        }
    }

    /** Guards against a watch that does not recover when the platform is available again. */
    @Test
    fun `the watch recovers after an outage of the platform`() = test {
        val address = unusedAddress()
        val updates = CopyOnWriteArrayList<ConfigurationUpdate>()
        val watch = launch { PlatformClient(address, factory, fastPolling).watchConfiguration().collect(updates::add) }
        awaitUntil { updates.size >= 5 }
        val updatesDuringOutage = updates.take(5)
        val port = address.substringAfter(':').toInt()
        ScriptedPlatform(value(1, "back"), port = port).use {
            awaitUntil { updates.any { it is ConfigurationUpdate.Content } }
            watch.cancel()
        }

        expectThat(updatesDuringOutage.map { (it as ConfigurationUpdate.Failed).error is PlatformError.Unreachable })
            .isEqualTo(List(5) { true })
    }

    /** Guards against delays that do not grow, or that grow without limit, while the platform is down. */
    @Test
    fun `backoff delays double up to the maximum with jitter`() {
        val backoff = Backoff(100.milliseconds, 1.seconds, Random(7))
        val limits = listOf(100, 200, 400, 800, 1_000, 1_000).map { it.milliseconds }
        for (limit in limits) {
            val delay = backoff.nextDelay()
            expectThat(delay).isLessThanOrEqualTo(limit)
            expectThat(delay).isGreaterThan(limit * 0.49)
        }
        backoff.reset()
        expectThat(backoff.nextDelay()).isLessThan(101.milliseconds)
    }

    /** Guards against an instance list that is decoded wrongly or whose polling ends after an invalid response. */
    @Test
    fun `the instance list is polled again after invalid responses`() = test {
        val list = """{"as_of_epoch_millis":5,"instances":[""" +
            """{"peer_address":"10.0.0.1:1","entry_address":"10.0.0.1:2","operator_address":"10.0.0.1:3",""" +
            """"failure_domain":"plateau","state":"leaving"},""" +
            """{"peer_address":"10.0.0.2:1","entry_address":"10.0.0.2:2","operator_address":"10.0.0.2:3",""" +
            """"failure_domain":"rufisque","state":"live"}]}"""
        val invalidResponses = ConcurrentLinkedQueue(listOf("", "[]", """{"instances":[{}]}"""))
        val server = TestServer {
            service("/platform/instances") { _, _ -> HttpResponse.of(MediaType.JSON, invalidResponses.poll() ?: list) }
        }
        server.use {
            val updateCount = AtomicInteger()
            val update = PlatformClient(server.address, factory, fastPolling).watchInstances()
                .onEach { updateCount.incrementAndGet() }
                .filterIsInstance<InstanceListUpdate.Content>()
                .first()

            expectThat(updateCount.get()).isEqualTo(4)
            expectThat(update.asOf).isEqualTo(Timestamp(5))
            expectThat(update.instances).containsExactly(
                published("10.0.0.1", "plateau", leaving = true),
                published("10.0.0.2", "rufisque", leaving = false),
            )
        }
    }

    private fun client(platform: ScriptedPlatform, polling: PlatformPolling = fastPolling) =
        PlatformClient(platform.address, factory, polling)

    private fun published(host: String, domain: String, leaving: Boolean) = PublishedInstance(
        address = InstanceAddress("$host:1"),
        entryAddress = "$host:2",
        operatorAddress = "$host:3",
        failureDomain = FailureDomainId(domain),
        leaving = leaving,
    )

    private fun value(version: Any, content: String): HttpResponse =
        HttpResponse.of(ResponseHeaders.of(HttpStatus.OK, "x-store-version", version), HttpData.ofUtf8(content))

    /** Responds to polls of the configuration with [responses] in order, and then with [fallback]. */
    private class ScriptedPlatform(
        vararg responses: HttpResponse,
        port: Int = 0,
        private val fallback: () -> HttpResponse = { HttpResponse.of(HttpStatus.SERVICE_UNAVAILABLE) },
    ) : AutoCloseable {
        val queries = CopyOnWriteArrayList<String>()
        private val remaining = ConcurrentLinkedQueue(responses.toList())

        private val server = TestServer(port) {
            service("/platform/config") { context, _ ->
                queries += context.query().orEmpty()
                remaining.poll() ?: fallback()
            }
        }

        val address: String get() = server.address

        override fun close() = server.close()
    }
}
