/*
 * Tests the labels of the metrics of requests.
 */
package org.arbutusnotch.forwarding.exchange

import io.micrometer.core.instrument.simple.SimpleMeterRegistry
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.containsExactlyInAnyOrder
import strikt.assertions.isEqualTo
import kotlin.time.Duration.Companion.milliseconds

class ForwardingMetricsTest {
    private val registry = SimpleMeterRegistry()
    private val metrics = ForwardingMetrics(registry)

    private fun record(outcome: String, reason: String) = metrics.recordRequest(outcome, reason, 1.milliseconds)

    private fun counters() = registry.find("arbutusnotch_requests").counters()

    /** Guards against a counter for each text of a faulty server, which fill the memory of the process. */
    @Test
    fun `texts of failures share a counter`() {
        repeat(1_000) { record("unknown", "malformed response: invalid version format: X$it") }
        expectThat(counters().map { it.id.getTag("reason") }).containsExactlyInAnyOrder("(others)")
        expectThat(counters().sumOf { it.count() }).isEqualTo(1_000.0)
    }

    /** Guards against reasons of this instance and statuses that operators can no longer tell apart. */
    @Test
    fun `reasons that the instance names have counters of their own`() {
        val reasons = listOf("shutting_down", "deadline", "200", "")
        reasons.forEach { record("refused", it) }
        expectThat(counters().map { it.id.getTag("reason") }).containsExactlyInAnyOrder(reasons)
    }
}
