/*
 * Tests which answers of a store that is restored from copies change the followed items.
 */
package org.arbutusnotch.forwarding.registry

import org.arbutusnotch.core.forwarding.StorePosition
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isNull
import strikt.assertions.isTrue

class FollowedItemsTest {
    private val items = FollowedItems()

    private fun item(key: String, revision: Long) = StoreItem(key, revision, ByteArray(0))

    private fun revisions() = items.values.map { it.revision }

    /** Guards against the listing of a restored store that is dropped because its revision is lower. */
    @Test
    fun `listing of a later era replaces items of higher revisions`() {
        items.replace(listOf(item("a", 40)), StorePosition(era = 1, revision = 40))
        val replacement = items.replace(listOf(item("a", 7)), StorePosition(era = 2, revision = 9))
        expectThat(replacement).isEqualTo(Replacement.RESTORED)
        expectThat(revisions()).containsExactly(7)
    }

    /** Guards against an answer of the store before the restoration that arrives late. */
    @Test
    fun `listing of an earlier era is ignored`() {
        items.replace(listOf(item("a", 7)), StorePosition(era = 2, revision = 9))
        val replacement = items.replace(listOf(item("a", 40)), StorePosition(era = 1, revision = 40))
        expectThat(replacement).isEqualTo(Replacement.OUTDATED)
        expectThat(revisions()).containsExactly(7)
    }

    /** Guards against changes that are skipped because the revision of the new era has overtaken the known one. */
    @Test
    fun `answer of a later era requires a listing whatever its status was`() {
        items.replace(emptyList(), StorePosition(era = 1, revision = 40))
        expectThat(items.needsListing).isFalse()
        items.observeEra(2)
        expectThat(items.needsListing).isTrue()
        items.replace(emptyList(), StorePosition(era = 2, revision = 60))
        expectThat(items.needsListing).isFalse()
    }

    @Test
    fun `answer without an era belongs to the latest one`() {
        items.observeEra(3)
        expectThat(items.observeEra(null)).isEqualTo(3)
        expectThat(items.isOutdated(2)).isTrue()
    }

    /** Guards against two restorations of which an instance sees only the second one. */
    @Test
    fun `era may be skipped`() {
        items.replace(listOf(item("a", 40)), StorePosition(era = 1, revision = 40))
        expectThat(items.replace(emptyList(), StorePosition(era = 3, revision = 2))).isEqualTo(Replacement.RESTORED)
        expectThat(items.values.firstOrNull()).isNull()
    }

    /** Guards against an item that goes back because a change was listed already. */
    @Test
    fun `change that is older than the listed item is ignored`() {
        items.replace(listOf(item("a", 15)), StorePosition(era = 1, revision = 12))
        expectThat(items.apply(StoreChange.Written(item("a", 14)))).isFalse()
        expectThat(items.apply(StoreChange.Removed("a", 14))).isFalse()
        expectThat(items.apply(StoreChange.Written(item("a", 16)))).isTrue()
        expectThat(revisions()).containsExactly(16)
    }
}
