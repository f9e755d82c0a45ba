/*
 * Changes to the set of excluded servers, for the log, the counters and the reservation table of the slot owner.
 */
package org.arbutusnotch.core.straggler

import org.arbutusnotch.core.id.BackendServerId
import kotlin.time.Duration

/** Describes a change made by a tick of the [ServerTable]. */
public sealed class StragglerDecision {
    /** The affected server. */
    public abstract val server: BackendServerId

    /** The server is slower than its pool and gets no new work except probes. */
    public data class Excluded(
        override val server: BackendServerId,
        public val timePerUnit: Duration,
        public val poolMedian: Duration,
    ) : StragglerDecision()

    /** The server gets new work again. */
    public data class Returned(override val server: BackendServerId, public val reason: ReturnReason) :
        StragglerDecision()
}

/** Lists the reasons for returning an excluded server to its pool. */
public enum class ReturnReason {
    /** Its measured speed is close to the median of its pool. */
    SPEED_IS_BACK,

    /** There is no recent measurement, so the slowdown has probably ended. */
    NOT_MEASURED,

    /** Other servers of the pool are slower, and at most a third of a pool is excluded. */
    LIMIT,
}
