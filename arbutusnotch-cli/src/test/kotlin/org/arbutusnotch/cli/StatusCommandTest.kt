/*
 * Tests `arbutusnotchctl status`.
 */
package org.arbutusnotch.cli

import kotlinx.serialization.json.Json
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.containsExactlyInAnyOrder
import strikt.assertions.hasSize
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isNotNull

class StatusCommandTest {
    /** Guards against omitting instances that are not named on the command line. */
    @Test
    fun `all instances are discovered from one, including peers of peers`() = withChain(3) { instances ->
        val result = arbutusnotchctl("status", "--instance", instances.first().address)
        expectThat(result.exitCode).isEqualTo(0)
        expectThat(result.standardError).isEmpty()
        instances.forEach { instance -> expectThat(result.row(instance.address)[3]).isEqualTo("serving") }
    }

    /** Guards against columns that do not match their headers. */
    @Test
    fun `a row has revision, digest, servers, conflicts and peers`() = withChain(2) { instances ->
        instances.first().revision = { 41 }
        instances.first().digest = "0123456789abcdef".repeat(4)
        val result = arbutusnotchctl("status", "--instance", instances.first().address)
        val headers = result.standardOutput.lines().first().split(Regex(" {2,}"))
        val row = headers.zip(result.row("10.0.0.1:${instances.first().address.substringAfter(':')}")).toMap()
        expectThat(row) {
            get { get("DOMAIN") }.isEqualTo("east-a")
            get { get("REVISION") }.isEqualTo("41")
            get { get("DIGEST") }.isEqualTo("0123456789ab")
            get { get("CANDIDATE") }.isEqualTo("-")
            get { get("SERVERS") }.isEqualTo("2 (1 excluded)")
            get { get("CONFLICTS") }.isEqualTo("0")
            get { get("PEERS") }.isEqualTo("1/1")
        }
    }

    /** Guards against a failed instance that is missing from the list or does not affect the exit code. */
    @Test
    fun `an unreachable peer has a row and exit code 3`() {
        val stopped = unusedAddress()
        FakeInstance().use { instance ->
            instance.peerAddresses = listOf(stopped)
            val result = arbutusnotchctl("status", "--instance", instance.address)
            expectThat(result.exitCode).isEqualTo(3)
            expectThat(result.row(stopped)).contains("unreachable").contains("east-a")
            expectThat(result.row(instance.address)).contains("serving")
            expectThat(result.standardError).contains("$stopped: unreachable: ")
        }
    }

    /** Guards against a planned shutdown that looks like a failure until the peers remove the row of the instance. */
    @Test
    fun `an instance that has shut down after a drain is not listed`() {
        val stopped = unusedAddress()
        FakeInstance().use { instance ->
            instance.peerAddresses = listOf(stopped)
            instance.peerState = "draining" to false
            val result = arbutusnotchctl("status", "--instance", instance.address)
            expectThat(result.exitCode).isEqualTo(0)
            expectThat(stopped in result.standardOutput).isFalse()
        }
    }

    /** Guards against omitting an instance whose drain hangs. */
    @Test
    fun `an instance that is still draining is listed`() = withChain(2) { instances ->
        instances.first().peerState = "draining" to true
        val result = arbutusnotchctl("status", "--instance", instances.first().address)
        expectThat(result.row(instances.last().address)).contains("serving")
    }

    /** Guards against listing and counting an instance twice when the command line has its host name. */
    @Test
    fun `an instance named by an alias is listed once`() = withChain(2) { instances ->
        instances.last().peerAddresses = listOf(instances.first().address)
        val alias = instances.first().address.replace("127.0.0.1", "localhost")
        val result = arbutusnotchctl("status", "--output", "json", "--instance", alias)
        val addresses = Json.decodeFromString<List<StatusResult>>(result.standardOutput).map { it.operatorAddress }
        expectThat(addresses).containsExactlyInAnyOrder(instances.map { it.address })
    }

    /** Guards against JSON that omits data of the table. */
    @Test
    fun `JSON has the whole status of each instance`() = withChain(1) { (instance) ->
        val result = arbutusnotchctl("status", "--output", "json", "--instance", instance.address)
        val statuses = Json.decodeFromString<List<StatusResult>>(result.standardOutput)
        expectThat(statuses).hasSize(1).get { single().status }.isNotNull().get { servers }.hasSize(2)
    }

    /** Guards against an exception when another program listens on the address. */
    @Test
    fun `a response of another program is reported as unreadable`() {
        FakeInstance(responses = mapOf("GET /operator/status" to "<html>")).use { instance ->
            val result = arbutusnotchctl("status", "--instance", instance.address)
            expectThat(result.exitCode).isEqualTo(1)
            expectThat(result.standardError).contains("${instance.address}: unreadable response: ")
            expectThat(result.row(instance.address)).contains("unreadable")
        }
    }
}
