/*
 * Changes of the set of excluded servers, for the log, the counters and the owner's reservation table.
 */
package org.arbutusnotch.core.straggler

import org.arbutusnotch.core.id.BackendServerId
import kotlin.time.Duration

/** Describes a change that a tick of the [ServerTable] made. */
public sealed class StragglerDecision {
    /** The server that the change is about. */
    public abstract val server: BackendServerId

    /** The server is slower than its pool and gets no new work but probes. */
    public data class Excluded(
        override val server: BackendServerId,
        public val perUnit: Duration,
        public val poolMedian: Duration,
    ) : StragglerDecision()

    /** The server gets new work again. */
    public data class Returned(override val server: BackendServerId, public val reason: ReturnReason) :
        StragglerDecision()
}

/** Names why an excluded server is used again. */
public enum class ReturnReason {
    /** Its measured speed is close to the median of its pool. */
    SPEED_IS_BACK,

    /** Nothing was measured for so long that the slowdown has probably ended. */
    NOT_MEASURED,

    /** Other servers of the pool are slower, and at most a third of a pool is excluded. */
    LIMIT,
}
