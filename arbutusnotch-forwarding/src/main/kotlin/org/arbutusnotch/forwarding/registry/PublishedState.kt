/*
 * The routes and backend servers that this instance currently uses.
 */
package org.arbutusnotch.forwarding.registry

import org.arbutusnotch.core.forwarding.BackendServer
import org.arbutusnotch.core.forwarding.RouteTable
import org.arbutusnotch.core.forwarding.ServerRegistry
import org.arbutusnotch.core.time.Timestamp
import org.arbutusnotch.telemetry.Clock
import org.arbutusnotch.telemetry.EventLog
import kotlin.time.Duration.Companion.days

/**
 * Applies published items as soon as they are read. A route table never replaces one of the same or a higher revision.
 *
 * @param onRoutes is called after a new route table is applied
 */
internal class PublishedState(
    private val items: StoreItemReader,
    private val clock: Clock,
    private val registry: ServerRegistry,
    private val onRoutes: (RouteTable) -> Unit,
) {
    private val log = EventLog("registry")
    private val reportedKeys = HashSet<String>()

    /** The current routes; null until the first route table is read. */
    var routes: RouteTable? = null
        private set

    /** The item from which [routes] were read. */
    var routesItem: StoreItem? = null
        private set

    /** Applies changes of the route table. */
    val routeListener: StoreListener = object : StoreListener {
        override fun onReplaced(items: Collection<StoreItem>, restored: Boolean) = applyNewestRoutes(items)

        override fun onChanged(change: StoreChange) {
            if (change is StoreChange.Written) applyRoutes(change.item)
        }

        override fun onStoreFailure(since: Timestamp) = Unit

        override fun onStoreRecovery() = Unit
    }

    /** Applies changes of the backend servers. */
    val serverListener: StoreListener = object : StoreListener {
        override fun onReplaced(items: Collection<StoreItem>, restored: Boolean) {
            val servers = items.mapNotNull { readServer(it) }
            if (restored) registry.restore(servers, clock.now()) else registry.replaceAll(servers, clock.now())
            log.info("servers_listed") {
                field("entries", items.size)
                field("restored", restored)
            }
        }

        override fun onChanged(change: StoreChange) = when (change) {
            is StoreChange.Written -> applyServer(change.item)
            is StoreChange.Removed -> removeServer(change)
        }

        /** Another writer may leave entries of any size and number, which together exceed the memory. */
        override fun retained(item: StoreItem): StoreItem {
            val isKept = item.value.size <= MAXIMUM_UNREADABLE_BYTES || readServer(item) != null
            return if (isKept) item else StoreItem(item.key, item.revision, ByteArray(0), item.created)
        }

        override fun onStoreFailure(since: Timestamp) = registry.recordOutage(clock.now(), since)

        override fun onStoreRecovery() = registry.recordRecovery(clock.now())
    }

    /** Applies the route table in [items] if it is newer than the current one, also from a store that was restored. */
    fun applyNewestRoutes(items: Collection<StoreItem>): Unit = items.forEach { applyRoutes(it) }

    private fun applyRoutes(item: StoreItem) {
        val table = read(item) { items.readRoutes(it) } ?: return
        val current = routes
        if (current != null && current.revision >= table.revision) return
        routes = table
        routesItem = item
        log.info("routes_in_force") {
            field("revision", table.revision)
            field("previous_revision", current?.revision)
            field("store_revision", item.revision)
            field("routes", table.routes.size)
            table.workspaces?.let { field("workspaces", it.size) }
        }
        onRoutes(table)
    }

    /**
     * Decodes the server in [item]; returns null if it describes none. A start in the future could not be exceeded by
     * the next process of the server.
     */
    fun readServer(item: StoreItem): BackendServer? = read(item) { readable ->
        val latestStart = (clock.now() + MAXIMUM_CLOCK_DIFFERENCE).epochMillis
        items.readServer(readable)?.takeIf { it.startedAt <= latestStart }
    }

    /** Decodes [item]; a failure of any kind concerns this item alone. */
    @Suppress("TooGenericExceptionCaught") // Another writer may have left bytes that no decoder expects.
    private fun <T : Any> read(item: StoreItem, decode: (StoreItem) -> T?): T? = try {
        decode(item).also { if (it == null) logUnreadable(item, detail = null) }
    } catch (failure: UnreadableItemException) {
        logUnreadable(item, failure.message)
        null
    } catch (failure: RuntimeException) {
        logUnreadable(item, failure.toString())
        null
    } catch (failure: StackOverflowError) {
        logUnreadable(item, failure.toString())
        null
    }

    private fun applyServer(item: StoreItem) {
        val server = readServer(item) ?: return
        registry.put(server, clock.now())
        log.info("server_entry") {
            field("server", server.id)
            field("pool", server.pool)
            field("stage", server.stage)
            field("leaving", server.leaving)
            field("version", server.version)
            field("store_revision", item.revision)
        }
    }

    private fun removeServer(change: StoreChange.Removed) {
        val id = items.serverId(change.key)
        registry.remove(id, clock.now())
        log.info("server_entry_removed") {
            field("server", id)
            field("store_revision", change.revision)
        }
    }

    /** Logs an unreadable entry the first time only for each [detail], however often it is written. */
    private fun logUnreadable(item: StoreItem, detail: String?) {
        if (reportedKeys.size >= MAXIMUM_REPORTED_KEYS || !reportedKeys.add("${item.key} $detail")) return
        log.warn("unreadable_entry") {
            field("key", item.key)
            field("store_revision", item.revision)
            field("bytes", item.value.size)
            field("detail", detail)
        }
    }

    private companion object {
        /** Number of remembered keys of unreadable entries; further entries are not logged. */
        const val MAXIMUM_REPORTED_KEYS = 1_000

        /**
         * Size in bytes of an entry that is kept although it cannot be read, since an instance of another version may
         * read it: several times that of a server's entry.
         */
        const val MAXIMUM_UNREADABLE_BYTES = 4_096

        /** Time by which the clock of a server may be ahead: clocks of machines differ by seconds, not by days. */
        val MAXIMUM_CLOCK_DIFFERENCE = 1.days
    }
}
