/*
 * The items under one prefix of the store, and the decision which answers of the store or of a peer change them.
 *
 * Answers may be outdated: one of the store before a restoration may arrive after the first one that names the new era.
 */
package org.arbutusnotch.forwarding.registry

import org.arbutusnotch.core.forwarding.StorePosition

/** Describes how a listing changed the items. */
internal enum class Replacement {
    /** The listing is older than the known items, which were kept. */
    OUTDATED,

    /** The known items were replaced. */
    UPDATED,

    /** The known items were replaced by those of a later era. */
    RESTORED,
}

internal class FollowedItems {
    private val items = LinkedHashMap<String, StoreItem>()
    private var latestEra = 0L

    /** Position up to which the items are current; null before the first listing. */
    var position: StorePosition? = null
        private set

    /** The latest known change of the items; null before the first listing and while there was none. */
    var latestChange: StorePosition? = null
        private set

    val values: Collection<StoreItem>
        get() = items.values

    /** Whether changes since [position] cannot be watched, since there is none or it belongs to an earlier era. */
    val needsListing: Boolean
        get() = position.let { it == null || it.era < latestEra }

    /** Returns the era of an answer that names [era]; an answer without one belongs to the latest known era. */
    fun observeEra(era: Long?): Long {
        val observed = era ?: latestEra
        latestEra = maxOf(latestEra, observed)
        return observed
    }

    /** Returns whether an answer of [era] describes a store that has been restored since. */
    fun isOutdated(era: Long): Boolean = era < latestEra

    /** Returns whether [other] is newer than the known items and than any restoration that is known. */
    fun isAdvance(other: StorePosition): Boolean = !isOutdated(other.era) && position.let { it == null || other > it }

    /** Replaces the items by [listed], which are current up to [listedPosition], unless the known ones are newer. */
    fun replace(listed: List<StoreItem>, listedPosition: StorePosition): Replacement {
        val known = position
        val isOlder = known != null && listedPosition < known
        if (isOlder || isOutdated(listedPosition.era)) return Replacement.OUTDATED
        observeEra(listedPosition.era)
        items.clear()
        listed.forEach { items[it.key] = it }
        position = listedPosition
        listed.maxOfOrNull { it.revision }?.let { recordChange(StorePosition(listedPosition.era, it)) }
        return if (known != null && known.era < listedPosition.era) Replacement.RESTORED else Replacement.UPDATED
    }

    /** Applies [change] of the current era, and returns whether it is newer than the known item. */
    fun apply(change: StoreChange): Boolean {
        recordChange(StorePosition(latestEra, change.revision))
        val known = items[change.key]
        if (known != null && known.revision >= change.revision) return false
        return when (change) {
            is StoreChange.Written -> {
                items[change.key] = change.item
                true
            }

            is StoreChange.Removed -> items.remove(change.key) != null
        }
    }

    private fun recordChange(change: StorePosition) {
        if (latestChange.let { it == null || change > it }) latestChange = change
    }

    /** Records that the items are current up to [newPosition], and returns whether that is an advance. */
    fun advanceTo(newPosition: StorePosition): Boolean {
        if (!isAdvance(newPosition)) return false
        position = newPosition
        return true
    }
}
