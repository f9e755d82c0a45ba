/*
 * The published store that routes and backend servers are read from.
 */
package org.arbutusnotch.forwarding.registry

import org.arbutusnotch.core.forwarding.BackendServer
import org.arbutusnotch.core.forwarding.RouteTable
import org.arbutusnotch.core.id.BackendServerId
import org.arbutusnotch.forwarding.http.HttpRequestMessage
import kotlin.time.Duration

/**
 * Holds one item of the store.
 *
 * @property revision revision of the store at which the item was written
 */
public class StoreItem(public val key: String, public val revision: Long, public val value: ByteArray)

/** Holds a part of a listing; [more] tells whether items follow after the last one. */
public class StorePage(public val items: List<StoreItem>, public val more: Boolean, public val storeRevision: Long)

/** Describes a change of the store. */
public sealed class StoreChange {
    /** An item was written. */
    public class Written(public val item: StoreItem) : StoreChange()

    /** The item under [key] was removed. */
    public class Removed(public val key: String, public val revision: Long) : StoreChange()
}

/** Holds the changes up to [storeRevision]. */
public class StoreChanges(public val changes: List<StoreChange>, public val storeRevision: Long)

/** Translates calls to the store. */
public interface StoreProtocol {
    /** Returns the request that lists the items under [prefix] whose keys follow [after]. */
    public fun listRequest(prefix: String, after: String?): HttpRequestMessage

    /** Returns the page in [body], or null when it is not one. */
    public fun readPage(body: ByteArray): StorePage?

    /** Returns the request that waits at most [wait] for changes under [prefix] after revision [after]. */
    public fun watchRequest(prefix: String, after: Long, wait: Duration): HttpRequestMessage

    /** Returns the changes in [body], or null when they cannot be read. */
    public fun readChanges(body: ByteArray): StoreChanges?
}

/** Translates the items of the store into routes and backend servers. */
public interface PublishedItems {
    /** Prefix of the key of the route table. */
    public val routePrefix: String

    /** Prefix of the keys of backend servers. */
    public val serverPrefix: String

    /** Returns the route table in [item]; null when the item is another one or cannot be read. */
    public fun readRoutes(item: StoreItem): RouteTable?

    /** Returns the server in [item]; null when the item does not describe one. */
    public fun readServer(item: StoreItem): BackendServer?

    /** Returns the id of the server whose item has [key]. */
    public fun serverId(key: String): BackendServerId
}
