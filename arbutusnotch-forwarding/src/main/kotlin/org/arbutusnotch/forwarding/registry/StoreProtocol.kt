/*
 * The protocol of the store from which routes and backend servers are read.
 */
package org.arbutusnotch.forwarding.registry

import org.arbutusnotch.core.forwarding.BackendServer
import org.arbutusnotch.core.forwarding.RouteTable
import org.arbutusnotch.core.id.BackendServerId
import org.arbutusnotch.forwarding.http.HttpRequestMessage
import org.arbutusnotch.forwarding.http.ResponseHead
import kotlin.time.Duration

/**
 * Holds one item of the store.
 *
 * @property revision store revision at which the item was written
 * @property created store revision at which an item was first written under [key]
 */
public class StoreItem(
    public val key: String,
    public val revision: Long,
    public val value: ByteArray,
    public val created: Long = revision,
)

/** Holds one page of a listing; [hasMore] tells whether further items follow the last one. */
public class StorePage(public val items: List<StoreItem>, public val hasMore: Boolean, public val storeRevision: Long)

/** Describes a change of one item. */
public sealed class StoreChange {
    public abstract val key: String

    /** Store revision of the change. */
    public abstract val revision: Long

    /** An item was written. */
    public class Written(public val item: StoreItem) : StoreChange() {
        override val key: String = item.key
        override val revision: Long = item.revision
    }

    /** The item under [key] was removed. */
    public class Removed(override val key: String, override val revision: Long) : StoreChange()
}

/** Holds the changes of a watch, complete up to [storeRevision]. */
public class StoreChanges(public val changes: List<StoreChange>, public val storeRevision: Long)

/** Encodes requests to the store and decodes its responses. */
public interface StoreProtocol {
    /**
     * Returns the era that the response with [head], of any status, names: the number of times that the store has been
     * restored from a copy; null when it names none.
     */
    public fun readEra(head: ResponseHead): Long?

    /** Returns the request that lists the items under [prefix] whose keys follow [after]; null lists from the start. */
    public fun listRequest(prefix: String, after: String?): HttpRequestMessage

    /** Returns the page in [body], or null when it cannot be read. */
    public fun readPage(body: ByteArray): StorePage?

    /** Returns the request that waits at most [wait] for changes under [prefix] after revision [after]. */
    public fun watchRequest(prefix: String, after: Long, wait: Duration): HttpRequestMessage

    /** Returns the changes in [body], or null when they cannot be read. */
    public fun readChanges(body: ByteArray): StoreChanges?
}

/** Tells why an item cannot be read; [message] is logged and contains no secret part of the item. */
public class UnreadableItemException(override val message: String) : RuntimeException(message)

/** Decodes items of the store into routes and backend servers. */
public interface StoreItemReader {
    /** Prefix of the key of the route table. */
    public val routePrefix: String

    /** Prefix of the keys of backend servers. */
    public val serverPrefix: String

    /**
     * Returns the route table in [item]; null when the item holds something else or cannot be read. Throws
     * [UnreadableItemException] instead if the log is to name the part that cannot be read.
     */
    public fun readRoutes(item: StoreItem): RouteTable?

    /** Returns the server in [item]; null when the item does not describe one. */
    public fun readServer(item: StoreItem): BackendServer?

    /** Returns the id of the server whose item has [key]. */
    public fun serverId(key: String): BackendServerId
}
