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

@Serializable
internal class SnapshotItem(val key: String, val revision: Long, @ByteString val value: ByteArray)

/** Holds the items under one prefix at a store revision. */
@Serializable
internal class SnapshotPart(val prefix: String, val revision: Long, val items: List<SnapshotItem>) {
    fun storeItems(): List<StoreItem> = items.map { StoreItem(it.key, it.revision, it.value) }
}

@Serializable
internal class StoreSnapshot(val parts: List<SnapshotPart>) {
    fun encode(): ByteArray = Cbor.encodeToByteArray(serializer(), this)

    companion object {
        /** Decodes a snapshot; the error describes why [bytes] cannot be decoded. */
        fun decode(bytes: ByteArray): Result<StoreSnapshot, String> = try {
            Ok(Cbor.decodeFromByteArray(serializer(), bytes))
        } catch (failure: IllegalArgumentException) {
            Err(failure.message ?: failure.javaClass.simpleName)
        }
    }
}
