/*
 * Explanations where an instance would send a request.
 */
package org.arbutusnotch.forwarding

import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.jsonArray
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import org.arbutusnotch.core.forwarding.RouteTable
import org.arbutusnotch.core.id.ContentDigest
import org.arbutusnotch.core.id.WorkspaceId
import org.arbutusnotch.core.workspace.Workspace
import org.arbutusnotch.core.workspace.WorkspaceQuota
import org.arbutusnotch.forwarding.fixture.InstanceFixture
import org.arbutusnotch.forwarding.fixture.ScriptedServer
import org.arbutusnotch.forwarding.fixture.StandInStore
import org.arbutusnotch.forwarding.fixture.awaitUntil
import org.arbutusnotch.forwarding.fixture.dispatcherOf
import org.arbutusnotch.forwarding.fixture.testRoutes
import org.arbutusnotch.forwarding.fixture.testServer
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse

class ExplainTest {
    private val resources = mutableListOf<AutoCloseable>()
    private val servers = (1..2).map { ScriptedServer { answer() }.also { server -> resources += server } }

    @AfterEach
    fun close() = resources.asReversed().forEach { it.close() }

    private fun testServers() = servers.mapIndexed { index, server -> testServer("s$index", server.address) }

    private fun InstanceFixture.explain(query: String): JsonObject =
        Json.parseToJsonElement(get(controlAddress, "/explain?$query")?.body.orEmpty()).jsonObject

    private fun JsonObject.pool() = getValue("pools").jsonArray.single().jsonObject

    private fun JsonObject.text(name: String) = getValue(name).jsonPrimitive.content

    /** Guards against an explanation that sends the request, or of which the dispatcher knows nothing. */
    @Test
    fun `every instance explains the decision of the dispatcher`() {
        val store = StandInStore().also { resources += it }
        val started = mutableListOf<InstanceFixture>()
        repeat(2) {
            val seeds = started.map { it.peer }
            started += InstanceFixture(servers = testServers(), sharedStore = store, seeds = seeds)
                .also { resources += it }
        }
        awaitUntil("the instances know each other") {
            started.all { it.get(it.directoryAddress, "/where")?.body.orEmpty().split(',').size == 2 }
        }
        started.forEach { instance ->
            val pool = instance.explain("host=test&path=/safe/x").pool()
            expectThat(pool.text("dispatcher")).isEqualTo(started.dispatcherOf("calls").peer)
            val place = pool.getValue("place").jsonObject
            expectThat(place.text("decision")).isEqualTo("send")
            expectThat(place.getValue("candidates").jsonArray.map { it.jsonObject.text("reason") }.sorted())
                .isEqualTo(listOf("other_preferred", "selected_for_run"))
        }
        expectThat(servers.flatMap { it.requests }).isEmpty()
    }

    /** Guards against a refusal that is not explained. */
    @Test
    fun `request that no server can run is explained`() {
        val instance = InstanceFixture(servers = testServers()).also { resources += it }
        expectThat(instance.explain("host=other&path=/safe/x").text("refusal")).isEqualTo("unknown_route")
        val place = instance.explain("host=test&path=/stream/x&prompt_tokens=100").pool().getValue("place").jsonObject
        expectThat(place.text("decision")).isEqualTo("refuse")
        expectThat(place.text("reason")).isEqualTo("no_server")
        expectThat(place.getValue("candidates").jsonArray).isEmpty()
    }

    /** Guards against keys in an explanation, and against one that ignores the caller's workspace. */
    @Test
    fun `explanation names the workspace and no key`() {
        val digest = ContentDigest("digest-of-key")
        val workspace = Workspace(WorkspaceId("acme"), setOf(digest), priority = 3, quota = WorkspaceQuota(5.0, 9.0))
        val routes = testRoutes().let { RouteTable(it.revision, it.routes, it.pools, it.limits, listOf(workspace)) }
        val instance = InstanceFixture(routes, testServers()).also { resources += it }
        expectThat(instance.explain("host=test&path=/safe/x").text("refusal")).isEqualTo("unauthenticated")
        val explanation = instance.explain("host=test&path=/safe/x&workspace=acme")
        expectThat(explanation.getValue("workspace").jsonObject.text("quota_burst")).isEqualTo("9.0")
        expectThat(explanation.pool().getValue("place").jsonObject.text("decision")).isEqualTo("send")
        expectThat(digest.value in explanation.toString()).isFalse()
        expectThat(explanation.keys).contains("route")
    }
}
