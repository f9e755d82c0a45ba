/*
 * Tests that the launcher cuts, delays, pauses, kills and restarts as the failure tests require.
 */
package org.arbutusnotch.testing.launch

import org.arbutusnotch.testing.awaitCondition
import org.arbutusnotch.testing.freeAddress
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.io.TempDir
import strikt.api.expectThat
import strikt.assertions.hasSize
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isGreaterThanOrEqualTo
import strikt.assertions.isTrue
import strikt.assertions.map
import java.net.InetSocketAddress
import java.net.ServerSocket
import java.net.Socket
import java.net.SocketTimeoutException
import java.nio.file.Path
import kotlin.concurrent.thread
import kotlin.io.path.Path
import kotlin.io.path.readText
import kotlin.system.measureTimeMillis
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class LaunchTest {
    /** Guards against a cut that lets bytes pass, and against bytes that are lost when the cut is removed. */
    @Test
    fun `bytes on a cut link arrive after it heals`() = withEchoServer { target ->
        val links = LinkTable()
        val address = freeAddress()
        LinkRelay(address, target, "north", links) { "south" }.use {
            connect(address).use { socket ->
                expectThat(echo(socket, 1)).isEqualTo(1)
                links.cut("north", "south")
                socket.getOutputStream().write(2)
                expectThat(runCatching { socket.getInputStream().read() }.exceptionOrNull() is SocketTimeoutException)
                    .isTrue()
                links.heal()
                expectThat(socket.getInputStream().read()).isEqualTo(2)
            }
        }
    }

    /** Guards against a delay in one direction only. */
    @Test
    fun `delayed link delays both directions`() = withEchoServer { target ->
        val links = LinkTable().apply { delay("north", "south", 50.milliseconds) }
        val address = freeAddress()
        LinkRelay(address, target, "north", links) { "south" }.use {
            connect(address).use { socket ->
                expectThat(measureTimeMillis { echo(socket, 1) }).isGreaterThanOrEqualTo(100)
            }
        }
    }

    /** Guards against connections whose failure domain the relay cannot determine. */
    @Test
    fun `process that owns a socket is found`() = withEchoServer { target ->
        connect(target).use { socket ->
            echo(socket, 1)
            val lookup = SocketOwnerLookup { listOf(ProcessHandle.current().pid() to "south") }
            expectThat(lookup.find(socket.localSocketAddress as InetSocketAddress)).isEqualTo("south")
            expectThat(SocketOwnerLookup { listOf(1L to "other") }.find(socket.localSocketAddress as InetSocketAddress))
                .isEqualTo(null)
        }
    }

    /** Guards against signals that do not reach the process or take effect too late. */
    @Test
    fun `process can be paused, resumed, killed and restarted`(@TempDir directory: Path) {
        val script = "while true; do echo tick; sleep 0.02; done"
        val process = ManagedProcess("ticker", listOf("sh", "-c", script), directory.resolve("log"))
        process.start()
        try {
            awaitCondition("output") { process.output().length > 20 }
            process.pause()
            Thread.sleep(100)
            val lengthWhenPaused = process.output().length
            Thread.sleep(200)
            expectThat(process.output().length).isEqualTo(lengthWhenPaused)
            process.resume()
            awaitCondition("output after resume") { process.output().length > lengthWhenPaused }
            process.kill()
            expectThat(process.isAlive).isFalse()
            process.start()
            expectThat(process.isAlive).isTrue()
        } finally {
            process.kill()
        }
    }

    /** Guards against addresses in the operators' file on which no emulator listens. */
    @Test
    fun `example file determines the deployment, and its addresses are replaced`(@TempDir directory: Path) {
        val text = Path("../examples/belfry.toml").readText()
        val description = DeploymentDescription.of(text, instances = 6)
        expectThat(description.engines).hasSize(8)
        expectThat(description.services).hasSize(3)
        expectThat(description.instances.map { it.failureDomain }.distinct()).hasSize(3)
        Deployment(description, directory = directory).use { deployment ->
            description.engines.forEach { engine ->
                expectThat(deployment.operatorsFile.contains("\"${deployment.serverAddress(engine.id)}\"")).isTrue()
                expectThat(deployment.operatorsFile.contains("\"${engine.templateAddress}\"")).isFalse()
            }
        }
    }

    /** Guards against processes that outlive a deployment, and against an emulator that ignores SIGTERM. */
    @Test
    fun `emulators start as processes and exit on SIGTERM`(@TempDir directory: Path) {
        val description = DeploymentDescription.of(Path("../examples/ndiaye.toml").readText(), instances = 1).let {
            it.copy(instances = emptyList(), engines = it.engines.take(1), services = it.services.take(1))
        }
        Deployment(description, directory = directory).use { deployment ->
            deployment.start(30.seconds)
            expectThat(deployment.allocations()).hasSize(0)
            expectThat(deployment.executions()).hasSize(1)
            val ids = listOf("platform", description.engines.first().id, description.services.first().id)
            ids.forEach { deployment.process(it).terminate() }
            expectThat(ids).map { deployment.process(it).awaitExit(5.seconds) != null }.isEqualTo(ids.map { true })
            expectThat(deployment.process("platform").output().trim())
                .isEqualTo("listening=${deployment.platformAddress}")
        }
    }

    private fun withEchoServer(test: (String) -> Unit) {
        ServerSocket(0).use { server ->
            thread(isDaemon = true) {
                runCatching {
                    while (true) {
                        val socket = server.accept()
                        thread(isDaemon = true) {
                            runCatching { socket.getInputStream().transferTo(socket.getOutputStream()) }
                        }
                    }
                }
            }
            test("127.0.0.1:${server.localPort}")
        }
    }

    private fun connect(address: String): Socket =
        Socket("127.0.0.1", address.substringAfterLast(':').toInt()).apply { soTimeout = 300 }

    private fun echo(socket: Socket, byte: Int): Int {
        socket.getOutputStream().write(byte)
        return socket.getInputStream().read()
    }
}
