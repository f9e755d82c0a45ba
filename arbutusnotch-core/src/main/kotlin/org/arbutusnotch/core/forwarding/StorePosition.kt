/*
 * Points in the history of the store.
 *
 * A store that is restored from a copy loses its latest changes and gives out their revisions again. Revisions can
 * therefore be compared only within an era, which begins with each restoration.
 */
package org.arbutusnotch.core.forwarding

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * Identifies a state of the store: a later era is newer than an earlier one, whatever the revisions are.
 *
 * @property era number of the era; 0 for a store that names none
 * @property revision revision within the era
 */
@Serializable
public data class StorePosition(@SerialName("e") public val era: Long, @SerialName("r") public val revision: Long) :
    Comparable<StorePosition> {
    override fun compareTo(other: StorePosition): Int = compareValuesBy(this, other, { it.era }, { it.revision })
}
