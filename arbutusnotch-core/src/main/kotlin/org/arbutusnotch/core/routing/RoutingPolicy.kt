/*
 * Policies for placing requests on backend servers.
 */
package org.arbutusnotch.core.routing

/** Selects how the [Router] places requests. */
public sealed class RoutingPolicy(
    /** Name of the policy in the daemon settings. */
    public val code: String,
) {
    /** Uses predicted latency, prefix affinity, admission control and exclusion of slow servers. */
    public data object Predictive : RoutingPolicy("chosen")

    /** Uses the servers in rotation, like a plain load balancer. */
    public data object RoundRobin : RoutingPolicy("round-robin")

    /** Uses the server with the lowest load in its own, delayed load report, like a plain load balancer. */
    public data object LeastReportedLoad : RoutingPolicy("least-reported-load")

    public companion object {
        /** All policies; computed on each call because the objects may be initialized after this companion. */
        public val entries: List<RoutingPolicy>
            get() = listOf(Predictive, RoundRobin, LeastReportedLoad)

        /** Returns the policy named [code]; null when there is none. */
        public fun ofCode(code: String): RoutingPolicy? = entries.firstOrNull { it.code == code }
    }
}
