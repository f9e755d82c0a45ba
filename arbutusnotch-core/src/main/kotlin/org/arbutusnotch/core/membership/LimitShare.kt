/*
 * Splits a limit that applies to all instances together while several of them may use it at the same time.
 */
package org.arbutusnotch.core.membership

/**
 * Counts the instances that this instance knows.
 *
 * @property known number of known instances, including this one
 * @property reachable number of those with which messages were exchanged recently, including this one
 */
public data class InstanceCounts(public val known: Int, public val reachable: Int) {
    /** Fraction of the known instances that is reachable. */
    public val reachableShare: Double
        get() = reachable.toDouble() / known

    /** Whether more than half of the known instances are reachable; at most one part of a partition sees a majority. */
    public val hasMajority: Boolean
        get() = reachable * 2 > known
}

/** Decides which part of a common limit an instance may use. */
public object LimitShare {
    /**
     * Returns the fraction, from 0 to 1, that this instance may use.
     *
     * The dispatcher of a pool uses the whole limit while it sees a majority, and in a minority the share of the
     * instances that it reaches, so that the parts of a partition use at most one and a half limits. An instance that
     * decides in place of the dispatcher uses the share of the instances for which it does so; [holders] counts them.
     */
    public fun of(counts: InstanceCounts, isDispatcher: Boolean, holders: () -> Int): Double = when {
        !isDispatcher -> (holders().toDouble() / counts.known).coerceIn(1.0 / counts.known, 1.0)
        counts.hasMajority -> 1.0
        else -> counts.reachableShare
    }
}
