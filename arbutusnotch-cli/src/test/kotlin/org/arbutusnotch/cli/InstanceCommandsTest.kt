/*
 * Tests the commands that print responses of instances: entry-points, explain, drain, quarantine, counters.
 */
package org.arbutusnotch.cli

import kotlinx.serialization.json.Json
import kotlinx.serialization.json.jsonObject
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.containsExactly
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo

class InstanceCommandsTest {
    /** Guards against requesting the entry points from the operator port; only the entry port has them. */
    @Test
    fun `entry points are fetched from the entry address of the instance`() {
        val responses = mapOf("GET /v1/entry-points" to ENTRY_POINTS)
        FakeInstance(responses = responses).use { instance ->
            val result = arbutusnotchctl("entry-points", "--instance", instance.address)
            expectThat(result.exitCode).isEqualTo(0)
            expectThat(result.row(instance.address)).contains("10.0.0.1:8080,10.0.0.2:8080")
            expectThat(instance.requests).containsExactly("GET /operator/status", "GET /v1/entry-points")
        }
    }

    /** Guards against explaining a different request than the one on the command line. */
    @Test
    fun `explain sends the request and shows every candidate`() {
        FakeInstance(responses = mapOf("GET /operator/explain" to EXPLANATION)).use { instance ->
            val arguments = arrayOf("--model", "briefing", "--prompt-tokens", "6000", "--priority", "9")
            val result = arbutusnotchctl("explain", *arguments, "--instance", instance.address)
            expectThat(result.exitCode).isEqualTo(0)
            expectThat(instance.requests)
                .containsExactly("GET /operator/explain?model=briefing&prompt_tokens=6000&priority=9")
            expectThat(result.row("true"))
                .containsExactly(instance.address, "10.1.0.1:9000", "4", "true")
            expectThat(result.row("false")).contains("10.1.0.2:9000")
            expectThat(result.standardOutput.lines().first()).isEqualTo("${instance.address}: 10.1.0.1:9000")
        }
    }

    /** Guards against sending an incomplete or ambiguous request description. */
    @Test
    fun `explain requires the options of exactly one kind of request`() {
        listOf(
            emptyArray(),
            arrayOf("--model", "briefing"),
            arrayOf("--service", "booking"),
            arrayOf("--model", "m", "--prompt-tokens", "1", "--priority", "1", "--service", "s", "--operation", "o"),
        ).forEach { arguments ->
            val result = arbutusnotchctl("explain", *arguments, "--instance", unusedAddress())
            expectThat(result.exitCode).isEqualTo(2)
            expectThat(result.standardError).contains("--service and --operation")
        }
    }

    /** Guards against an explanation by an instance on the platform that lacks its decision or a candidate. */
    @Test
    fun `explain shows the decision of an instance on the platform`() {
        FakeInstance(responses = mapOf("GET /explain" to PLATFORM_EXPLANATION)).use { instance ->
            val request = arrayOf("--path", "/chat", "--host", "h", "--prompt-tokens", "9")
            val arguments = request + arrayOf("--instance", instance.address)
            val result = arbutusnotchctl("explain", *arguments)
            expectThat(result.exitCode).isEqualTo(0)
            expectThat(instance.requests).containsExactly("GET /explain?host=h&path=%2Fchat&prompt_tokens=9")
            expectThat(result.standardOutput.lines().take(2)).containsExactly(
                "${instance.address}: route name=chat,priority=1",
                "${instance.address}: pool engines weight=1 dispatcher=10.0.0.1:7000 " +
                    "decision=refuse,reason=overloaded,retry_after_millis=200",
            )
            expectThat(result.row("full")).containsExactly(instance.address, "engines", "d1", "full")
            val json = arbutusnotchctl("explain", *arguments, "--output", "json")
            expectThat(Json.parseToJsonElement(json.standardOutput).jsonObject[instance.address])
                .isEqualTo(Json.parseToJsonElement(PLATFORM_EXPLANATION))
        }
    }

    /** Guards against a refusal that looks like an empty result. */
    @Test
    fun `a refusal exits with 1 and shows the response of the instance`() = withChain(1) { (instance) ->
        val arguments = arrayOf("--service", "booking", "--operation", "book")
        val result = arbutusnotchctl("explain", *arguments, "--instance", instance.address)
        expectThat(result.exitCode).isEqualTo(1)
        expectThat(result.standardOutput).isEmpty()
        expectThat(result.standardError).contains("${instance.address}: refused with status 404: no such path")
    }

    /** Guards against draining the whole deployment. */
    @Test
    fun `only named instances are drained`() {
        val responses = mapOf("POST /operator/drain" to """{"state":"draining"}""")
        withChain(2, responses) { (first, second) ->
            val result = arbutusnotchctl("drain", "--instance", first.address)
            expectThat(result.exitCode).isEqualTo(0)
            expectThat(result.row(first.address)).containsExactly(first.address, "draining")
            expectThat(first.requests).containsExactly("POST /operator/drain")
            expectThat(second.requests).isEmpty()
        }
    }

    /** Guards against a quarantined request that is not listed. */
    @Test
    fun `quarantined digests are listed with their servers`() {
        FakeInstance(responses = mapOf("GET /operator/quarantine" to QUARANTINE)).use { instance ->
            val result = arbutusnotchctl("quarantine", "list", "--instance", instance.address)
            expectThat(result.exitCode).isEqualTo(0)
            expectThat(result.row("abc")).containsExactly(instance.address, "abc", "10.1.0.1:9000,10.1.0.2:9000", "99")
        }
    }

    /** Guards against a cleared digest that another instance still refuses. */
    @Test
    fun `the quarantine is cleared on every instance`() {
        val responses = mapOf("DELETE /operator/quarantine" to """{"cleared":1}""")
        withChain(3, responses) { instances ->
            val result = arbutusnotchctl("quarantine", "clear", "--instance", instances.first().address)
            expectThat(result.exitCode).isEqualTo(0)
            instances.forEach { instance -> expectThat(instance.requests.toList()).contains(DELETE_QUARANTINE) }
        }
    }

    /** Guards against showing the counters of one instance only, and against summing maxima. */
    @Test
    fun `counters are combined over all instances`() {
        val responses = mapOf("GET /operator/counters" to COUNTERS)
        withChain(3, responses) { instances ->
            val table = arbutusnotchctl("counters", "--instance", instances.first().address)
            expectThat(table.exitCode).isEqualTo(0)
            expectThat(table.standardOutput.trim().lines().map { it.split(Regex(" +")) }).containsExactly(
                listOf("COUNTER", "VALUE"),
                listOf("answered", "6"),
                listOf("first_token_max{priority=9}", "0.115"),
                listOf("refused_capacity", "3703701"),
            )
            val all = arbutusnotchctl("counters", "--all", "--instance", instances.first().address)
            expectThat(all.row("denied")).containsExactly("denied", "0")
            val json = arbutusnotchctl("counters", "--output", "json", "--instance", instances.first().address)
            expectThat(Json.parseToJsonElement(json.standardOutput).jsonObject.keys)
                .isEqualTo(instances.map { it.address }.toSortedSet())
        }
    }

    /** Guards against sums that silently omit an instance. */
    @Test
    fun `counters of a deployment with an unreachable instance exit with 3`() {
        val stopped = unusedAddress()
        FakeInstance(responses = mapOf("GET /operator/counters" to """{"answered":2}""")).use { instance ->
            instance.peerAddresses = listOf(stopped)
            val result = arbutusnotchctl("counters", "--instance", instance.address)
            expectThat(result.exitCode).isEqualTo(3)
            expectThat(result.row("answered")).containsExactly("answered", "2")
            expectThat(result.standardError).contains("$stopped: unreachable: ")
        }
    }

    private companion object {
        const val DELETE_QUARANTINE = "DELETE /operator/quarantine"
        const val COUNTERS =
            """{"refused_capacity":1234567.0,"answered":2,"denied":0,"first_token_max{priority=9}":0.1149999999}"""
        const val ENTRY_POINTS =
            """{"entry_points":["10.0.0.1:8080","10.0.0.2:8080"],"valid_until_epoch_millis":5,"issuer_prefix":null}"""
        const val PLATFORM_EXPLANATION =
            """{"refusal":null,"route":{"name":"chat","priority":1},"workspace":null,"pools":[{"pool":"engines",""" +
                """"weight":1,"dispatcher":"10.0.0.1:7000","place":{"decision":"refuse","position":null,""" +
                """"reason":"overloaded","retry_after_millis":200,"candidates":[{"server":"d1","reason":"full"}]}}]}"""
        const val EXPLANATION =
            """{"decision":"10.1.0.1:9000","candidates":[{"server":"10.1.0.1:9000","free_slots":4,"selected":true},
            {"server":"10.1.0.2:9000","free_slots":0,"selected":false}]}"""
        const val QUARANTINE =
            """{"quarantined":[{"digest":"abc","servers":["10.1.0.1:9000","10.1.0.2:9000"],"until_epoch_millis":99}]}"""
    }
}
