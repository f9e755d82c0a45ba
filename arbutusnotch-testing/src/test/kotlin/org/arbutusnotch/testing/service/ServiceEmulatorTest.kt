/*
 * Checks the executions that the service emulator reports. They decide in failure tests whether a booking ran twice.
 */
package org.arbutusnotch.testing.service

import com.linecorp.armeria.client.WebClient
import com.linecorp.armeria.common.HttpStatus
import com.linecorp.armeria.common.MediaType
import org.arbutusnotch.testing.RunningServer
import org.arbutusnotch.testing.expected.ExpectedOutput
import org.arbutusnotch.testing.freeAddress
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.io.TempDir
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import java.nio.file.Path

class ServiceEmulatorTest {
    private val address = freeAddress()
    private var service = start(ServiceSettings(address, callMillis = 5, slots = 1))

    private fun start(settings: ServiceSettings) =
        RunningServer(address, ServiceEmulator(settings).server(workerThreads = 1))

    @AfterEach
    fun stop() = service.close()

    private fun call(key: String, body: String = "{}") = WebClient.of("http://$address").prepare()
        .post("/call/book")
        .header("idempotency-key", key)
        .content(MediaType.JSON, body)
        .execute()
        .aggregate()

    private fun countsByKey() = service.read<ExecutionReport>("/emulator/executions").executions
        .associate { it.idempotencyKey to it.count }

    /** Guards against an oracle that misses a duplicate execution. */
    @Test
    fun `executions are counted by idempotency key and answers depend on the body`() {
        call("k1").join()
        call("k1").join()
        val answer = call("k2", """{"group":7}""").join().contentUtf8()

        expectThat(countsByKey()).isEqualTo(mapOf("k1" to 2, "k2" to 1))
        expectThat(answer).isEqualTo(ExpectedOutput.serviceAnswer("book", """{"group":7}""".encodeToByteArray()))
    }

    /** Guards against a dropped answer that also drops the effect, which would hide lost bookings. */
    @Test
    fun `a call whose answer is dropped takes effect`() {
        service.post<ServiceFault>("/emulator/faults", ServiceFault.DropAnswer()).join()

        expectThat(runCatching { call("k1").join() }.isSuccess).isFalse()
        expectThat(countsByKey()).isEqualTo(mapOf("k1" to 1))
    }

    /** Guards against refused calls that take effect. */
    @Test
    fun `refused calls and calls over capacity have no effect`() {
        service.post<ServiceFault>("/emulator/faults", ServiceFault.Slow(20.0, 5_000)).join()
        val running = (1..2).map { call("k$it") }
        Thread.sleep(50)
        expectThat(call("k3").join().status()).isEqualTo(HttpStatus.TOO_MANY_REQUESTS)
        running.forEach { it.join() }
        service.post<ServiceFault>("/emulator/faults", ServiceFault.Refuse(5_000)).join()

        expectThat(call("k4").join().status()).isEqualTo(HttpStatus.SERVICE_UNAVAILABLE)
        expectThat(countsByKey()).isEqualTo(mapOf("k1" to 1, "k2" to 1))
    }

    /** Guards against executions that are lost when the service restarts, which would hide them from the oracle. */
    @Test
    fun `executions survive a restart`(@TempDir directory: Path) {
        val settings = ServiceSettings(address, callMillis = 5, executionFile = directory.resolve("executions.jsonl"))
        service.close()
        service = start(settings)
        call("k1").join()
        service.close()
        service = start(settings)

        expectThat(countsByKey()).isEqualTo(mapOf("k1" to 1))
    }
}
