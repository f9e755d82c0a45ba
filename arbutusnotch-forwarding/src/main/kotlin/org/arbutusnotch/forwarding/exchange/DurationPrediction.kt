/*
 * Predictions of the duration of a request, by which a shutdown decides whether the request can still end in time.
 */
package org.arbutusnotch.forwarding.exchange

import kotlin.time.Duration

/** Predicts the time from sending a request to its final answer. */
internal sealed class DurationPrediction {
    /** Predicted time; null when nothing is known of it. */
    abstract val duration: Duration?

    /** By the latest requests of the route. */
    data class ByRoute(override val duration: Duration) : DurationPrediction()

    /** By the caller's estimate of the length; a stream that is longer takes longer. */
    data class ByEstimate(override val duration: Duration) : DurationPrediction()

    /** By the maximum length that the caller declares. */
    data class ByMaximum(override val duration: Duration) : DurationPrediction()

    /** The duration is not known. */
    data object Unknown : DurationPrediction() {
        override val duration: Duration? = null
    }

    /** The duration does not matter, since another instance serves callers. */
    data object Replaced : DurationPrediction() {
        override val duration: Duration? = null
    }

    /** Name of the ground in logs. */
    val basis: String
        get() = when (this) {
            is ByRoute -> "route"
            is ByEstimate -> "estimate"
            is ByMaximum -> "maximum"
            Unknown -> "unknown"
            Replaced -> "replaced"
        }
}
