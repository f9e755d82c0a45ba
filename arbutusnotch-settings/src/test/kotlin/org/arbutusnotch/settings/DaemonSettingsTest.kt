/*
 * Tests the settings of a daemon: fields, defaults and errors.
 */
package org.arbutusnotch.settings

import com.github.michaelbull.result.get
import org.arbutusnotch.core.id.FailureDomainId
import org.arbutusnotch.core.id.Incarnation
import org.arbutusnotch.core.id.InstanceAddress
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.map
import strikt.assertions.single
import kotlin.time.Duration.Companion.seconds

class DaemonSettingsTest {
    /** Guards against defaults of the reader that differ from those of the settings types. */
    @Test
    fun `settings with only the required keys have the defaults`() {
        val expected = DaemonSettings(
            instance = InstanceSettings(
                entryAddress = "127.0.0.1:18080",
                peerAddress = InstanceAddress("127.0.0.1:18081"),
                operatorAddress = "127.0.0.1:18082",
                failureDomain = FailureDomainId("east-a"),
            ),
            platform = PlatformSettings("127.0.0.1:18000"),
        )
        expectThat(DaemonSettingsReader.read(VALID_DAEMON_SETTINGS, FILE_NAME).get()).isEqualTo(expected)
    }

    /** Guards against a key that is read into the wrong field, and against seconds read as milliseconds. */
    @Test
    fun `every optional key sets its field`() {
        val text = VALID_DAEMON_SETTINGS.change("\"east-a\"", "\"east-a\"\nincarnation = 12") + OPTIONAL_TABLES
        val settings = DaemonSettingsReader.read(text, FILE_NAME).get()
        expectThat(settings?.instance?.incarnation).isEqualTo(Incarnation(12))
        expectThat(settings?.limits).isEqualTo(
            LimitSettings(
                headerBytes = 2_001,
                bodyBytes = 2_002,
                promptTokens = 2_003,
                bodyTimeout = 4.seconds,
                permitRecords = 2_005,
                answerBytes = 2_006,
                workerThreads = 7,
                drainTimeout = 2_008.seconds,
                tokenLifetime = 209.seconds,
            ),
        )
        expectThat(settings?.routing?.policy).isEqualTo(RoutingPolicyName.LEAST_REPORTED_LOAD)
        expectThat(settings?.seed?.peers)
            .isEqualTo(listOf(InstanceAddress("127.0.0.1:1"), InstanceAddress("127.0.0.2:2")))
    }

    /** Guards against reporting only the first missing key, so that each start of the daemon reveals one more. */
    @Test
    fun `an empty file gives an error for every missing key`() {
        expectThat(daemonErrors("")).map { error -> error.key }.isEqualTo(
            listOf(
                "instance.entry_address",
                "instance.peer_address",
                "instance.operator_address",
                "instance.failure_domain",
                "platform.address",
            ),
        )
    }

    /** Guards against a limit that makes the daemon unusable, such as zero threads or an endless drain. */
    @ParameterizedTest
    @CsvSource(
        "header_bytes, 1023, 1024, 1048576",
        "header_bytes, 1048577, 1024, 1048576",
        "body_bytes, 1023, 1024, 67108864",
        "body_bytes, 67108865, 1024, 67108864",
        "prompt_tokens, 0, 1, 16777216",
        "prompt_tokens, 16777217, 1, 16777216",
        "body_seconds, 0, 1, 300",
        "body_seconds, 301, 1, 300",
        "permit_records, 0, 1, 1000000",
        "permit_records, 1000001, 1, 1000000",
        "answer_bytes, -1, 0, 1048576",
        "answer_bytes, 1048577, 0, 1048576",
        "worker_threads, 0, 1, 64",
        "worker_threads, 65, 1, 64",
        "drain_seconds, 0, 1, 3600",
        "drain_seconds, 3601, 1, 3600",
        "token_seconds, 0, 1, 600",
        "token_seconds, 601, 1, 600",
    )
    fun `limits outside their ranges are rejected`(key: String, value: Long, minimum: Long, maximum: Long) {
        val errors = daemonErrors("$VALID_DAEMON_SETTINGS[limits]\n$key = $value\n")
        expectThat(errors).single().get { toString() }
            .isEqualTo(
                "$FILE_NAME:10:1: limits.$key: found integer $value; allowed: an integer from $minimum to $maximum",
            )
        listOf(minimum, maximum).forEach { bound ->
            expectThat(daemonErrors("$VALID_DAEMON_SETTINGS[limits]\n$key = $bound\n")).isEmpty()
        }
    }

    /** Guards against an unknown policy that is silently replaced by the default. */
    @Test
    fun `an unknown policy is rejected and the known policies are listed`() {
        expectThat(daemonErrors("$VALID_DAEMON_SETTINGS[routing]\npolicy = \"random\"\n")).single().and {
            get { key }.isEqualTo("routing.policy")
            get { allowed }.isEqualTo("\"chosen\" or \"round-robin\" or \"least-reported-load\"")
        }
    }

    /** Guards against an error in a list that names the list but not the element. */
    @Test
    fun `each invalid peer address is reported with its index`() {
        val peers = "[\"127.0.0.1:1\", \"localhost:2\", 3]"
        expectThat(daemonErrors("$VALID_DAEMON_SETTINGS[seed]\npeers = $peers\n")).map { error -> error.key }
            .isEqualTo(listOf("seed.peers[1]", "seed.peers[2]"))
    }

    /** Guards against two listeners with one address, which would fail only when the daemon starts and binds them. */
    @Test
    fun `duplicate addresses of an instance are rejected`() {
        val text = VALID_DAEMON_SETTINGS.change("127.0.0.1:18082", "127.0.0.1:18080")
        expectThat(daemonErrors(text)).single().and {
            get { key }.isEqualTo("instance.operator_address")
            get { line }.isEqualTo(4)
        }
    }

    /** Guards against binding the advertised peer address when it belongs to a port forwarder. */
    @Test
    fun `the bound peer address can differ from the advertised one`() {
        val text = VALID_DAEMON_SETTINGS.change("18081\"", "18081\"\npeer_listen_address = \"127.0.0.1:19081\"")
        val instance = DaemonSettingsReader.read(text, FILE_NAME).get()?.instance
        expectThat(instance?.peerAddress).isEqualTo(InstanceAddress("127.0.0.1:18081"))
        expectThat(instance?.peerListenAddress).isEqualTo(InstanceAddress("127.0.0.1:19081"))
        expectThat(daemonErrors(text.change("19081", "18080"))).single()
            .get { key }.isEqualTo("instance.peer_listen_address")
    }

    private companion object {
        const val OPTIONAL_TABLES = """
[limits]
header_bytes = 2001
body_bytes = 2002
prompt_tokens = 2003
body_seconds = 4
permit_records = 2005
answer_bytes = 2006
worker_threads = 7
drain_seconds = 2008
token_seconds = 209

[routing]
policy = "least-reported-load"

[seed]
peers = ["127.0.0.1:1", "127.0.0.2:2"]
"""
    }
}
