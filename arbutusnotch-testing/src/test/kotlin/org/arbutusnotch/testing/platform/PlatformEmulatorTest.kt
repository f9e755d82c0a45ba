/*
 * Checks that the platform emulator behaves like a platform that lags, limits the call rate and fails.
 */
package org.arbutusnotch.testing.platform

import com.linecorp.armeria.common.HttpMethod
import com.linecorp.armeria.common.HttpStatus
import org.arbutusnotch.testing.RunningServer
import org.arbutusnotch.testing.awaitCondition
import org.arbutusnotch.testing.freeAddress
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThanOrEqualTo
import strikt.assertions.map

class PlatformEmulatorTest {
    private val address = freeAddress()
    private var platform = start(callsPerSecond = 2_000)

    private fun start(callsPerSecond: Int) =
        RunningServer(address, PlatformEmulator(callsPerSecond, listLagMillis = 200).server(address, workerThreads = 1))

    @AfterEach
    fun stop() = platform.close()

    private fun put(text: String) = platform.send(HttpMethod.PUT, "/emulator/config", text).join()

    private fun instance(number: Int) =
        ListedInstance("127.0.0.1:$number", "127.0.0.1:1$number", "127.0.0.1:2$number", "north")

    /** Guards against a watch that misses a change or returns before there is one. */
    @Test
    fun `a watch returns when the value changes`() {
        put("one")
        val first = platform.get("/platform/config?after=0&wait_millis=0")
        val version = first.headers().get("x-store-version")
        val watch = platform.send(HttpMethod.GET, "/platform/config?after=$version&wait_millis=5000", "")
        Thread.sleep(100)
        expectThat(watch.isDone).isFalse()
        put("two")

        expectThat(watch.join().contentUtf8()).isEqualTo("two")
    }

    /** Guards against a watch that never ends while the value is unchanged. */
    @Test
    fun `a watch ends with 304 when nothing changes`() {
        put("one")
        val version = platform.get("/platform/config?after=0&wait_millis=0").headers().get("x-store-version")

        expectThat(platform.get("/platform/config?after=$version&wait_millis=100").status())
            .isEqualTo(HttpStatus.NOT_MODIFIED)
    }

    /** Guards against validation in the emulator: truncated files must reach the daemons. */
    @Test
    fun `any bytes up to 1 MB are published and more are refused`() {
        put("revision = \"half")
        expectThat(platform.get("/platform/config?after=0&wait_millis=0").contentUtf8()).isEqualTo("revision = \"half")
        expectThat(put("x".repeat(1_048_577)).status()).isEqualTo(HttpStatus.REQUEST_ENTITY_TOO_LARGE)
    }

    /** Guards against a stale platform that serves a newer value. */
    @Test
    fun `a stale platform serves the old version`() {
        put("one")
        platform.post<PlatformFault>("/emulator/faults", PlatformFault.Stale()).join()
        put("two")
        expectThat(platform.get("/platform/config?after=0&wait_millis=0").contentUtf8()).isEqualTo("one")
        platform.post<PlatformFault>("/emulator/faults", PlatformFault.Clear).join()
        expectThat(platform.get("/platform/config?after=0&wait_millis=0").contentUtf8()).isEqualTo("two")
    }

    /** Guards against a platform that still serves data while it is down. */
    @Test
    fun `a platform that is down answers 503`() {
        platform.post<PlatformFault>("/emulator/faults", PlatformFault.Down).join()
        expectThat(platform.get("/platform/config?after=0&wait_millis=0").status())
            .isEqualTo(HttpStatus.SERVICE_UNAVAILABLE)
        expectThat(platform.get("/platform/instances").status()).isEqualTo(HttpStatus.SERVICE_UNAVAILABLE)
    }

    /** Guards against a list that shows changes immediately, and against omit and keep faults without effect. */
    @Test
    fun `the instance list lags and applies omit and keep faults`() {
        platform.send(HttpMethod.PUT, "/emulator/instances", encode(1, 2)).join()
        expectThat(listedAddresses()).isEqualTo(emptyList())
        awaitCondition("publication") { listedAddresses() == listOf("127.0.0.1:1", "127.0.0.1:2") }
        platform.post<PlatformFault>("/emulator/faults", PlatformFault.Keep(listOf("127.0.0.1:2"))).join()
        platform.post<PlatformFault>("/emulator/faults", PlatformFault.Omit(listOf("127.0.0.1:1"))).join()
        platform.send(HttpMethod.PUT, "/emulator/instances", encode(1, 3)).join()
        awaitCondition("publication") { "127.0.0.1:3" in listedAddresses() }

        expectThat(listedAddresses()).isEqualTo(listOf("127.0.0.1:3", "127.0.0.1:2"))
    }

    /** Guards against a call rate limit that is not enforced or ignores pending watches. */
    @Test
    fun `calls over the rate limit get 429 and pending watches count`() {
        platform.close()
        platform = start(callsPerSecond = 20)
        repeat(10) { platform.send(HttpMethod.GET, "/platform/config?after=0&wait_millis=3000", "") }
        Thread.sleep(1_100)
        val statuses = (1..40).map {
            platform.send(HttpMethod.GET, "/platform/instances", "")
        }.map { it.join().status() }

        expectThat(statuses).contains(HttpStatus.TOO_MANY_REQUESTS)
        expectThat(statuses.count { it == HttpStatus.OK }).isGreaterThan(0).isLessThanOrEqualTo(20)
    }

    private fun listedAddresses() =
        platform.read<InstanceListing>("/platform/instances").instances.map { it.peerAddress }

    private fun encode(vararg numbers: Int): String = org.arbutusnotch.testing.http.wireJson
        .encodeToString(InstanceUpdate(numbers.map(::instance)))
}
