/*
 * Watches of a platform that changes, fails and lies.
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

    private val quick = PlatformPace(
        configurationWait = 200.milliseconds,
        answerTimeout = 10.seconds,
        leastChangedInterval = 1.milliseconds,
        leastUnchangedInterval = 1.milliseconds,
        instanceInterval = 5.milliseconds,
        firstBackoff = 1.milliseconds,
        maximumBackoff = 10.milliseconds,
        configurationBytes = 1_000,
    )

    @AfterAll
    fun closeFactory() = factory.close()

    /** Guards against a watch that asks again for a version that it has, or that misses one. */
    @Test
    fun `each poll asks for what follows the last version`() = test {
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

    /** Guards against an answer that ends the watch: the instance would never see another revision. */
    @Test
    fun `no failed answer ends the watch`() = test {
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

    /** Guards against a watch that waits for a version which a platform restored from a copy may never reach. */
    @Test
    fun `an older version is delivered as stale and followed`() = test {
        val platform = ScriptedPlatform(value(9, "new"), value(4, "old"), value(5, "newer than old"))
        platform.use {
            val updates = client(platform).watchConfiguration().take(3).toList()
                .filterIsInstance<ConfigurationUpdate.Content>()

            expectThat(updates.map { it.stale }).containsExactly(false, true, true)
            expectThat(platform.queries[2]).isEqualTo("after=4&wait_millis=200")
        }
    }

    /** Guards against a platform that does not wait and is polled without a pause by every instance. */
    @Test
    fun `polls keep their distance when the platform does not wait`() = test {
        val platform = ScriptedPlatform(otherwise = { HttpResponse.of(HttpStatus.NOT_MODIFIED) })
        platform.use {
            val started = TimeSource.Monotonic.markNow()
            client(
                platform,
                quick.copy(leastUnchangedInterval = 100.milliseconds),
            ).watchConfiguration().take(6).toList()

            // Five pauses of 100 ms, each shortened by a fifth at most.
            expectThat(started.elapsedNow()).isGreaterThan(400.milliseconds)
        }
    }

    /** Guards against a pending poll that ends before the platform answers it and costs a second call. */
    @Test
    fun `a poll waits for the platform`() = test {
        val delayed = HttpResponse.delayed(value(1, "late"), java.time.Duration.ofMillis(150))
        ScriptedPlatform(delayed).use { platform ->
            val update = client(platform, quick.copy(answerTimeout = 5.seconds)).watchConfiguration().first()

            expectThat(update).isA<ConfigurationUpdate.Content>()
        }
    }

    /** Guards against a poll that hangs for ever at a platform that accepts it and never answers. */
    @Test
    fun `a poll that is never answered times out`() = test {
        val pace = quick.copy(configurationWait = 50.milliseconds, answerTimeout = 50.milliseconds)
        ScriptedPlatform(otherwise = { HttpResponse.streaming() }).use { platform ->
            val update = client(platform, pace).watchConfiguration().first()

            expectThat(update).isA<ConfigurationUpdate.Failed>().get { error }.isEqualTo(PlatformError.TimedOut)
        }
    }

    /** Guards against a watch that does not notice when the platform is back. */
    @Test
    fun `the watch outlasts a platform that is down`() = test {
        val address = unusedAddress()
        val updates = CopyOnWriteArrayList<ConfigurationUpdate>()
        val watch = launch { PlatformClient(address, factory, quick).watchConfiguration().collect(updates::add) }
        awaitUntil { updates.size >= 5 }
        val whileDown = updates.take(5)
        val port = address.substringAfter(':').toInt()
        ScriptedPlatform(value(1, "back"), port = port).use {
            awaitUntil { updates.any { it is ConfigurationUpdate.Content } }
            watch.cancel()
        }

        expectThat(whileDown.map { (it as ConfigurationUpdate.Failed).error is PlatformError.Unreachable })
            .isEqualTo(List(5) { true })
    }

    /** Guards against waits that do not grow, or that grow without limit, while the platform is down. */
    @Test
    fun `waits double up to the limit and are scattered`() {
        val backoff = Backoff(100.milliseconds, 1.seconds, Random(7))
        val limits = listOf(100, 200, 400, 800, 1_000, 1_000).map { it.milliseconds }
        for (limit in limits) {
            val wait = backoff.wait()
            expectThat(wait).isLessThanOrEqualTo(limit)
            expectThat(wait).isGreaterThan(limit * 0.49)
        }
        backoff.reset()
        expectThat(backoff.wait()).isLessThan(101.milliseconds)
    }

    /** Guards against an instance list whose keys are misread or whose faulty answers end the polling. */
    @Test
    fun `the instance list is read again after faulty answers`() = test {
        val list = """{"as_of_epoch_millis":5,"instances":[""" +
            """{"peer_address":"10.0.0.1:1","entry_address":"10.0.0.1:2","operator_address":"10.0.0.1:3",""" +
            """"failure_domain":"plateau","state":"leaving"},""" +
            """{"peer_address":"10.0.0.2:1","entry_address":"10.0.0.2:2","operator_address":"10.0.0.2:3",""" +
            """"failure_domain":"rufisque","state":"live"}]}"""
        val answers = ConcurrentLinkedQueue(listOf("", "[]", """{"instances":[{}]}"""))
        val server = TestServer {
            service("/platform/instances") { _, _ -> HttpResponse.of(MediaType.JSON, answers.poll() ?: list) }
        }
        server.use {
            val seen = AtomicInteger()
            val update = PlatformClient(server.address, factory, quick).watchInstances()
                .onEach { seen.incrementAndGet() }
                .filterIsInstance<InstanceListUpdate.Content>()
                .first()

            expectThat(seen.get()).isEqualTo(4)
            expectThat(update.asOf).isEqualTo(Timestamp(5))
            expectThat(update.instances).containsExactly(
                published("10.0.0.1", "plateau", leaving = true),
                published("10.0.0.2", "rufisque", leaving = false),
            )
        }
    }

    private fun client(platform: ScriptedPlatform, pace: PlatformPace = quick) =
        PlatformClient(platform.address, factory, pace)

    private fun published(host: String, domain: String, leaving: Boolean) = PublishedInstance(
        address = InstanceAddress("$host:1"),
        entryAddress = "$host:2",
        operatorAddress = "$host:3",
        failureDomain = FailureDomainId(domain),
        leaving = leaving,
    )

    private fun value(version: Any, content: String): HttpResponse =
        HttpResponse.of(ResponseHeaders.of(HttpStatus.OK, "x-store-version", version), HttpData.ofUtf8(content))

    /** Answers polls of the configuration with [answers] in turn, and then with [otherwise]. */
    private class ScriptedPlatform(
        vararg answers: HttpResponse,
        port: Int = 0,
        private val otherwise: () -> HttpResponse = { HttpResponse.of(HttpStatus.SERVICE_UNAVAILABLE) },
    ) : AutoCloseable {
        val queries = CopyOnWriteArrayList<String>()
        private val remaining = ConcurrentLinkedQueue(answers.toList())

        private val server = TestServer(port) {
            service("/platform/config") { context, _ ->
                queries += context.query().orEmpty()
                remaining.poll() ?: otherwise()
            }
        }

        val address: String get() = server.address

        override fun close() = server.close()
    }
}
