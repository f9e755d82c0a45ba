/*
 * The routes and backend servers in force at this instance.
 */
package org.arbutusnotch.forwarding.registry

import org.arbutusnotch.core.forwarding.BackendServer
import org.arbutusnotch.core.forwarding.RouteTable
import org.arbutusnotch.core.forwarding.ServerRegistry
import org.arbutusnotch.telemetry.Clock
import org.arbutusnotch.telemetry.EventLog

/**
 * Takes over published items as soon as they are read. A route table of a lower revision never replaces a higher one.
 *
 * @param onRoutes is called after a route table came in force
 */
internal class PublishedState(
    private val items: PublishedItems,
    private val clock: Clock,
    private val registry: ServerRegistry,
    private val onRoutes: (RouteTable) -> Unit,
) {
    private val log = EventLog("registry")
    private val unreadable = HashSet<String>()

    /** The routes in force; null before the first ones were read. */
    var routes: RouteTable? = null
        private set

    /** Follows the route table. */
    val routeListener: StoreListener = object : StoreListener {
        override fun onReplaced(items: Collection<StoreItem>) = items.forEach { takeRoutes(it) }

        override fun onChanged(change: StoreChange) {
            if (change is StoreChange.Written) takeRoutes(change.item)
        }

        override fun onTrouble() = Unit
    }

    /** Follows the backend servers. */
    val serverListener: StoreListener = object : StoreListener {
        override fun onReplaced(items: Collection<StoreItem>) {
            registry.replaceAll(items.mapNotNull { readServer(it) }, clock.now())
            log.info("servers_listed") { field("entries", items.size) }
        }

        override fun onChanged(change: StoreChange) = when (change) {
            is StoreChange.Written -> takeServer(change.item)
            is StoreChange.Removed -> removeServer(change)
        }

        override fun onTrouble() = registry.recordOutage(clock.now())
    }

    private fun takeRoutes(item: StoreItem) {
        val table = items.readRoutes(item)
        if (table == null) {
            noteUnreadable(item)
            return
        }
        val inForce = routes
        if (inForce != null && inForce.revision >= table.revision) return
        routes = table
        log.info("routes_in_force") {
            field("revision", table.revision)
            field("previous_revision", inForce?.revision)
            field("store_revision", item.revision)
            field("routes", table.routes.size)
        }
        onRoutes(table)
    }

    private fun readServer(item: StoreItem): BackendServer? {
        val server = items.readServer(item)
        if (server == null) noteUnreadable(item)
        return server
    }

    private fun takeServer(item: StoreItem) {
        val server = readServer(item) ?: return
        registry.put(server, clock.now())
        log.info("server_entry") {
            field("server", server.id)
            field("pool", server.pool)
            field("stage", server.stage)
            field("leaving", server.leaving)
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

    /** Logs an entry that cannot be read once, however often it is written. */
    private fun noteUnreadable(item: StoreItem) {
        if (unreadable.size >= MAXIMUM_UNREADABLE || !unreadable.add(item.key)) return
        log.warn("unreadable_entry") {
            field("key", item.key)
            field("store_revision", item.revision)
            field("bytes", item.value.size)
        }
    }

    private companion object {
        /** Keys of unreadable entries that are remembered. */
        const val MAXIMUM_UNREADABLE = 1_000
    }
}
