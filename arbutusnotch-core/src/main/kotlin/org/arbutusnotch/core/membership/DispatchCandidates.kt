/*
 * Selects the instances that dispatch the requests of pools.
 *
 * A dispatcher handles the messages of all instances for its pool. On an instance with little processor time its
 * replies are late under load, and the other instances then turn to further dispatchers, which do not know the places
 * in use.
 */
package org.arbutusnotch.core.membership

/** Selects by the capacity that instances announce. */
public object DispatchCandidates {
    /** Capacity relative to the largest instance from which an instance may dispatch. */
    private const val MINIMUM_CAPACITY_SHARE = 0.5

    /**
     * Returns those of [serving] that may dispatch: the ones with at least half of the capacity of the largest.
     * Instances that announce no capacity are used only if none does.
     */
    public fun of(serving: List<InstanceView>): List<InstanceView> {
        val largest = serving.maxOfOrNull { it.row.capacity } ?: return emptyList()
        return serving.filter { it.row.capacity >= largest * MINIMUM_CAPACITY_SHARE }
    }
}
