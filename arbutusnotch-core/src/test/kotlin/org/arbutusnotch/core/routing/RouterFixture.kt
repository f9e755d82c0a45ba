/*
 * A router for a small deployment, and factory functions for its requests.
 */
package org.arbutusnotch.core.routing

import org.arbutusnotch.core.configuration.DeploymentConfiguration
import org.arbutusnotch.core.fixture.MODEL
import org.arbutusnotch.core.fixture.OPERATION
import org.arbutusnotch.core.fixture.OWN_DOMAIN
import org.arbutusnotch.core.fixture.SERVICE
import org.arbutusnotch.core.fixture.START
import org.arbutusnotch.core.fixture.decodeServer
import org.arbutusnotch.core.fixture.deployment
import org.arbutusnotch.core.fixture.summary
import org.arbutusnotch.core.id.BackendServerId
import org.arbutusnotch.core.id.ContentDigest
import org.arbutusnotch.core.straggler.ServerTable
import org.arbutusnotch.core.time.Timestamp
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

internal class RouterFixture(
    configuration: DeploymentConfiguration = deployment(),
    policy: RoutingPolicy = RoutingPolicy.Predictive,
    seed: Long = 1,
) {
    val servers = ServerTable().apply { configure(configuration) }
    val prefixes = PrefixTable()
    val router = Router(policy, OWN_DOMAIN, Random(seed), servers, prefixes).apply { configure(configuration) }
    var now: Timestamp = START

    fun completion(
        digests: List<ContentDigest> = emptyList(),
        promptTokens: Int = 1_000,
        priority: Int = 0,
        timeout: Duration = 10.seconds,
        excluded: Set<BackendServerId> = emptySet(),
    ) = CompletionRequest(MODEL, digests, promptTokens, 100, priority, now + timeout, excluded)

    fun placeCompletion(request: CompletionRequest = completion()): Placement = router.placeCompletion(request, now)

    fun placed(request: CompletionRequest = completion()): Placement.Placed =
        placeCompletion(request) as Placement.Placed

    fun placeCall(
        priority: Int = 0,
        timeout: Duration = 1.seconds,
        excluded: Set<BackendServerId> = emptySet(),
    ): ServicePlacement =
        router.placeService(ServiceRequest(SERVICE, OPERATION, priority, now + timeout, excluded), now)

    /** Makes the decode servers in [slow] five times slower than the others, so that the server table excludes them. */
    fun slowDown(vararg slow: Int, poolSize: Int = 6) {
        (0 until poolSize).forEach { number ->
            val micros = if (number in slow) 130_000L else 26_000L
            servers.merge(summary(decodeServer(number), now, micros = micros))
        }
        servers.tick(now)
    }

    fun advance(duration: Duration = 20.milliseconds) {
        now += duration
        servers.tick(now)
    }
}
