/*
 * The policies by which requests are placed.
 */
package org.arbutusnotch.core.routing

/** Selects how the [Router] places requests. */
public sealed class RoutingPolicy(
    /** Name of the policy in the daemon's settings. */
    public val code: String,
) {
    /** Predictions, prefix affinity, admission control and exclusion of slow servers. */
    public data object Chosen : RoutingPolicy("chosen")

    /** Every server in turn, as a plain load balancer does. */
    public data object RoundRobin : RoutingPolicy("round-robin")

    /** The server with the least load by its own lagging report, as a plain load balancer does. */
    public data object LeastReportedLoad : RoutingPolicy("least-reported-load")

    public companion object {
        /** All policies; computed on each call because the objects may be initialized after this companion. */
        public val entries: List<RoutingPolicy>
            get() = listOf(Chosen, RoundRobin, LeastReportedLoad)

        /** Returns the policy named [code]; null when there is none. */
        public fun ofCode(code: String): RoutingPolicy? = entries.firstOrNull { it.code == code }
    }
}
