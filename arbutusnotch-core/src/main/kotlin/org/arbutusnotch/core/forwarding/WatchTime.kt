/*
 * The time for which an instance lets one call to the store wait for changes.
 *
 * A call whose answer is lost is noticed when it should have ended. In a fleet the peers notice sooner, so that only
 * instances with few peers and the frequent watchers need short calls. Each call incurs a cost: the other instances
 * together make about one a second.
 */
package org.arbutusnotch.core.forwarding

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

public object WatchTime {
    private val TIME_PER_INSTANCE = 1.seconds
    private val MINIMUM = 1_500.milliseconds
    private val MAXIMUM = 20.seconds

    /** Time for an instance that is one of the [FrequentWatchers]: its lost calls are noticed within two seconds. */
    public val FREQUENT: Duration = 1.seconds

    /** Returns the time for an instance that reaches [instances] instances, itself included. */
    public fun of(instances: Int): Duration = (TIME_PER_INSTANCE * instances).coerceIn(MINIMUM, MAXIMUM)
}
