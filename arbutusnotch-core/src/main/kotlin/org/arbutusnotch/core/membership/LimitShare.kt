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

/** Describes how an instance takes part in dispatching a pool, in its own view of the other instances. */
public sealed interface DispatchRole {
    /** It is the dispatcher, and no instance that was reachable until recently takes precedence over it. */
    public data object Dispatcher : DispatchRole

    /** It follows an instance that became unreachable recently, but may still dispatch for those that reach it. */
    public data object Successor : DispatchRole

    /** Another instance is the dispatcher, but some instances do not reach it. */
    public data object Substitute : DispatchRole
}

/** Decides which part of a common limit an instance may use. */
public object LimitShare {
    /** Share of a successor: with the whole limit of its predecessor, one and a half limits as in a partition. */
    private const val SUCCESSOR_SHARE = 0.5

    /**
     * Returns the fraction, from 0 to 1, that this instance may use.
     *
     * The dispatcher of a pool uses the whole limit while it sees a majority, and in a minority the share of the
     * instances that it reaches, so that the parts of a partition use at most one and a half limits. An instance that
     * decides in place of the dispatcher uses the share of the instances for which it does so; [holders] counts them.
     */
    public fun of(counts: InstanceCounts, role: DispatchRole, holders: () -> Int): Double = when (role) {
        DispatchRole.Dispatcher -> if (counts.hasMajority) 1.0 else counts.reachableShare
        DispatchRole.Successor -> minOf(shareOfHolders(counts, holders()), SUCCESSOR_SHARE)
        DispatchRole.Substitute -> shareOfHolders(counts, holders())
    }

    /**
     * Returns the fraction, from 0 to 1, of the places of a pool that this instance may have granted at a time. One
     * that decides in place of the dispatcher does not know the places of the holders that [holders] does not count.
     * A dispatcher and its successor learn all places from the reports of the holders.
     */
    public fun ofPlaces(counts: InstanceCounts, role: DispatchRole, holders: () -> Int): Double = when (role) {
        DispatchRole.Dispatcher, DispatchRole.Successor -> 1.0
        DispatchRole.Substitute -> shareOfHolders(counts, holders())
    }

    private fun shareOfHolders(counts: InstanceCounts, holders: Int): Double =
        (holders.toDouble() / counts.known).coerceIn(1.0 / counts.known, 1.0)
}
