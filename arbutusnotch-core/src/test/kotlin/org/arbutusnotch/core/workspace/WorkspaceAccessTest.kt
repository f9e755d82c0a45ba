/*
 * Tests the decision on the key of a request.
 */
package org.arbutusnotch.core.workspace

import org.arbutusnotch.core.forwarding.Route
import org.arbutusnotch.core.forwarding.RouteKind
import org.arbutusnotch.core.id.ContentDigest
import org.arbutusnotch.core.id.WorkspaceId
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

internal class WorkspaceAccessTest {
    private val workspace = Workspace(WorkspaceId("w"), setOf(ContentDigest("k1"), ContentDigest("k2")))
    private val access = WorkspaceAccess(listOf(Workspace(WorkspaceId("other"), setOf(ContentDigest("o"))), workspace))
    private val route = Route(
        name = "r",
        host = "h",
        prefix = "/",
        kind = RouteKind.IdempotentCall,
        targets = emptyList(),
        timeLimit = 1.seconds,
        objective = 1.seconds,
        maximumServers = 1,
        priority = 0,
    )

    private fun decide(key: String?, age: Duration?, maximumAge: Duration? = null, route: Route = this.route) =
        access.decide(route, key?.let { ContentDigest(it) }, age, maximumAge)

    @Test
    fun `each key of a workspace is accepted`() {
        listOf("k1", "k2").forEach {
            expectThat(decide(it, age = Duration.ZERO)).isEqualTo(AccessDecision.Granted(workspace))
        }
    }

    /** Guards against a 401 for a key that a newer configuration contains. */
    @Test
    fun `unknown and missing keys are rejected for good only soon after a confirmation`() {
        listOf("x", null).forEach { key ->
            expectThat(decide(key, age = 1.seconds)).isEqualTo(AccessDecision.Unauthenticated)
            listOf(1_001.milliseconds, null).forEach {
                expectThat(decide(key, age = it)).isEqualTo(AccessDecision.Unconfirmed(workspace = null))
            }
        }
    }

    /** Guards against requests that run with a key that was removed too long ago. */
    @Test
    fun `known keys are accepted up to the maximum age of the confirmation`() {
        val maximumAge = WorkspaceAccess.maximumAge(after = 3.seconds)
        expectThat(decide("k1", 2_500.milliseconds, maximumAge)).isEqualTo(AccessDecision.Granted(workspace))
        listOf(2_501.milliseconds, null).forEach {
            expectThat(decide("k1", it, maximumAge)).isEqualTo(AccessDecision.Unconfirmed(workspace))
        }
        expectThat(decide("k1", age = null)).isEqualTo(AccessDecision.Granted(workspace))
    }

    /** Guards against public routes that depend on the store. */
    @Test
    fun `public route needs neither a key nor a confirmation`() {
        val public = route.copy(requiresKey = false)
        listOf(null, "x", "k1").forEach {
            expectThat(decide(it, age = null, maximumAge = 1.seconds, route = public))
                .isEqualTo(AccessDecision.Granted(workspace = null))
        }
    }
}
