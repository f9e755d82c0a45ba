/*
 * The state of the store as one instance sends it to another.
 */
@file:OptIn(ExperimentalSerializationApi::class)

package org.arbutusnotch.forwarding.registry

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.ByteString
import kotlinx.serialization.cbor.Cbor
import org.arbutusnotch.core.forwarding.StorePosition

@Serializable
internal class SnapshotItem(val key: String, val revision: Long, @ByteString val value: ByteArray) {
    fun storeItem() = StoreItem(key, revision, value)

    companion object {
        fun of(item: StoreItem) = SnapshotItem(item.key, item.revision, item.value)
    }
}

/** Holds the items under one prefix at a position in the store. */
@Serializable
internal class SnapshotPart(val prefix: String, val revision: Long, val items: List<SnapshotItem>, val era: Long = 0) {
    /** Position up to which the items are current; null when none were read. */
    val position: StorePosition?
        get() = if (revision < 0) null else StorePosition(era, revision)

    fun storeItems(): List<StoreItem> = items.map { it.storeItem() }

    companion object {
        /** Value of [revision] when no items were read. */
        private const val NOT_READ = -1L

        /** Returns the part for [items], which are current up to [position]; null if none were read. */
        fun of(prefix: String, position: StorePosition?, items: Collection<StoreItem>) = SnapshotPart(
            prefix = prefix,
            revision = position?.revision ?: NOT_READ,
            items = items.map { SnapshotItem.of(it) },
            era = position?.era ?: 0,
        )
    }
}

/**
 * Holds what one instance knows of the store.
 *
 * @property routes the item of the routes in force, which may be newer than the item in a restored store
 */
@Serializable
internal class StoreSnapshot(val parts: List<SnapshotPart>, val routes: SnapshotItem? = null) {
    fun encode(): ByteArray = cbor.encodeToByteArray(serializer(), this)

    companion object {
        /** Instances of other versions may send further fields. */
        private val cbor = Cbor { ignoreUnknownKeys = true }

        /** Decodes a snapshot; the error describes why [bytes] cannot be decoded. */
        fun decode(bytes: ByteArray): Result<StoreSnapshot, String> = try {
            Ok(cbor.decodeFromByteArray(serializer(), bytes))
        } catch (failure: IllegalArgumentException) {
            Err(failure.message ?: failure.javaClass.simpleName)
        }
    }
}
