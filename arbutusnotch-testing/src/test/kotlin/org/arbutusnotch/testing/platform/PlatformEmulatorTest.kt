/*
 * The platform emulator must give readers what a lagging, limited and unreliable platform gives.
 */
package org.arbutusnotch.testing.platform

import com.linecorp.armeria.common.HttpMethod
import com.linecorp.armeria.common.HttpStatus
import org.arbutusnotch.testing.RunningServer
import org.arbutusnotch.testing.await
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
        RunningServer(address, PlatformEmulator(callsPerSecond, lagMillis = 200).server(address, workerThreads = 1))

    @AfterEach
    fun stop() = platform.close()

    private fun put(text: String) = platform.send(HttpMethod.PUT, "/emulator/config", text).join()

    private fun instance(number: Int) =
        ListedInstance("127.0.0.1:$number", "127.0.0.1:1$number", "127.0.0.1:2$number", "north")

    /** Guards against a watch that misses a change, or that polls instead of waiting. */
    @Test
    fun `watch returns when the value changes`() {
        put("one")
        val first = platform.get("/platform/config?after=0&wait_millis=0")
        val version = first.headers().get("x-store-version")
        val watch = platform.send(HttpMethod.GET, "/platform/config?after=$version&wait_millis=5000", "")
        Thread.sleep(100)
        expectThat(watch.isDone).isFalse()
        put("two")

        expectThat(watch.join().contentUtf8()).isEqualTo("two")
    }

    /** Guards against readers that never see an unchanged value end their wait. */
    @Test
    fun `watch ends with 304 when nothing changes`() {
        put("one")
        val version = platform.get("/platform/config?after=0&wait_millis=0").headers().get("x-store-version")

        expectThat(platform.get("/platform/config?after=$version&wait_millis=100").status())
            .isEqualTo(HttpStatus.NOT_MODIFIED)
    }

    /** Guards against validation in the emulator: half files must reach the daemons. */
    @Test
    fun `any bytes are published and the largest size is 1 MB`() {
        put("revision = \"half")
        expectThat(platform.get("/platform/config?after=0&wait_millis=0").contentUtf8()).isEqualTo("revision = \"half")
        expectThat(put("x".repeat(1_048_577)).status()).isEqualTo(HttpStatus.REQUEST_ENTITY_TOO_LARGE)
    }

    /** Guards against a stale platform that shows a newer value. */
    @Test
    fun `stale platform keeps the old version`() {
        put("one")
        platform.post<PlatformFault>("/emulator/faults", PlatformFault.Stale()).join()
        put("two")
        expectThat(platform.get("/platform/config?after=0&wait_millis=0").contentUtf8()).isEqualTo("one")
        platform.post<PlatformFault>("/emulator/faults", PlatformFault.Clear).join()
        expectThat(platform.get("/platform/config?after=0&wait_millis=0").contentUtf8()).isEqualTo("two")
    }

    /** Guards against a platform fault that still answers. */
    @Test
    fun `down platform answers 503`() {
        platform.post<PlatformFault>("/emulator/faults", PlatformFault.Down).join()
        expectThat(platform.get("/platform/config?after=0&wait_millis=0").status())
            .isEqualTo(HttpStatus.SERVICE_UNAVAILABLE)
        expectThat(platform.get("/platform/instances").status()).isEqualTo(HttpStatus.SERVICE_UNAVAILABLE)
    }

    /** Guards against a list that shows changes at once, and against omit and keep faults without effect. */
    @Test
    fun `instance list lags and can omit and keep`() {
        platform.send(HttpMethod.PUT, "/emulator/instances", encode(1, 2)).join()
        expectThat(listed()).isEqualTo(emptyList())
        await("publication") { listed() == listOf("127.0.0.1:1", "127.0.0.1:2") }
        platform.post<PlatformFault>("/emulator/faults", PlatformFault.Keep(listOf("127.0.0.1:2"))).join()
        platform.post<PlatformFault>("/emulator/faults", PlatformFault.Omit(listOf("127.0.0.1:1"))).join()
        platform.send(HttpMethod.PUT, "/emulator/instances", encode(1, 3)).join()
        await("publication") { "127.0.0.1:3" in listed() }

        expectThat(listed()).isEqualTo(listOf("127.0.0.1:3", "127.0.0.1:2"))
    }

    /** Guards against a budget that is not enforced, or that ignores waiting watches. */
    @Test
    fun `calls beyond the budget get 429 and a waiting watch counts`() {
        platform.close()
        platform = start(callsPerSecond = 20)
        repeat(10) { platform.send(HttpMethod.GET, "/platform/config?after=0&wait_millis=3000", "") }
        Thread.sleep(1_100)
        val answers = (1..40).map {
            platform.send(HttpMethod.GET, "/platform/instances", "")
        }.map { it.join().status() }

        expectThat(answers).contains(HttpStatus.TOO_MANY_REQUESTS)
        expectThat(answers.count { it == HttpStatus.OK }).isGreaterThan(0).isLessThanOrEqualTo(20)
    }

    private fun listed() = platform.read<InstanceListing>("/platform/instances").instances.map { it.peerAddress }

    private fun encode(vararg numbers: Int): String = org.arbutusnotch.testing.http.wireJson
        .encodeToString(InstanceUpdate(numbers.map(::instance)))
}
