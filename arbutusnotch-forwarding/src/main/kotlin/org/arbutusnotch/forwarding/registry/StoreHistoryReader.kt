/*
 * Reads how far back the history of the store reaches, and the changes in it.
 *
 * Nothing says where the history begins, so the reader searches for the lowest revision after which the store still
 * tells all changes.
 */
package org.arbutusnotch.forwarding.registry

import com.github.michaelbull.result.fold
import io.netty.channel.EventLoopGroup
import org.arbutusnotch.core.forwarding.AnswerBufferBudget
import org.arbutusnotch.core.forwarding.BackendServer
import org.arbutusnotch.core.forwarding.ListedServer
import org.arbutusnotch.core.forwarding.PublishedHistory
import org.arbutusnotch.core.forwarding.StorePosition
import org.arbutusnotch.forwarding.http.BufferedCall
import org.arbutusnotch.forwarding.http.HttpRequestMessage
import org.arbutusnotch.forwarding.http.HttpResponseMessage
import org.arbutusnotch.telemetry.EventLog
import java.net.InetSocketAddress
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Reads from the store how the servers have changed. */
internal interface ServerHistory {
    /** Calls [onResult] with the history of the server entries; with null when the store does not answer. */
    fun read(onResult: (PublishedHistory?) -> Unit)

    /**
     * Calls [onResult] with the servers that were written since this instance last heard of changes; with null when the
     * store does not answer or does not tell.
     */
    fun readRecent(onResult: (List<BackendServer>?) -> Unit)
}

/**
 * Reads the history of the server entries.
 *
 * @param position returns the position up to which this instance knows the entries
 * @param readServer decodes an entry; returns null if it describes no server
 */
internal class StoreHistoryReader(
    private val address: InetSocketAddress,
    private val protocol: StoreProtocol,
    private val items: StoreItemReader,
    private val group: EventLoopGroup,
    private val memory: AnswerBufferBudget,
    private val position: () -> StorePosition?,
    private val readServer: (StoreItem) -> BackendServer?,
) : ServerHistory {
    private val log = EventLog("store")

    override fun read(onResult: (PublishedHistory?) -> Unit) = Search(onResult).list(after = null)

    override fun readRecent(onResult: (List<BackendServer>?) -> Unit) {
        val from = position() ?: return onResult(null)
        fun fail(detail: String) {
            reportFailure(detail)
            onResult(null)
        }
        call(protocol.watchRequest(items.serverPrefix, from.revision, WAIT), ::fail) { response ->
            val era = protocol.readEra(response.head) ?: from.era
            val read = response.takeIf { it.head.status == OK && era == from.era }
                ?.let { protocol.readChanges(it.body) }
            if (read == null) {
                fail("status ${response.head.status}, era $era")
            } else {
                onResult(writtenServers(read.changes))
            }
        }
    }

    private fun call(
        request: HttpRequestMessage,
        onFailure: (String) -> Unit,
        onResponse: (HttpResponseMessage) -> Unit,
    ) = BufferedCall(request, CONNECT_TIMEOUT, TIMEOUT, memory) { result ->
        result.fold(success = onResponse, failure = { onFailure(it.toString()) })
    }.start(address, group)

    private fun reportFailure(detail: String) = log.info("history_unavailable") { field("detail", detail) }

    private fun writtenServers(changes: List<StoreChange>) =
        changes.filterIsInstance<StoreChange.Written>().mapNotNull { readServer(it.item) }

    private inner class Search(private val onResult: (PublishedHistory?) -> Unit) {
        private val listing = mutableListOf<ListedServer>()
        private var listedAt = 0L

        /** The history is known to begin at or after the first of these revisions, and to reach back to the second. */
        private var lowest = 0L
        private var reached = 0L
        private var changes = emptyList<StoreChange>()

        fun list(after: String?): Unit = call(protocol.listRequest(items.serverPrefix, after)) { response ->
            val page = response.takeIf { it.head.status == OK }?.let { protocol.readPage(it.body) }
            if (page == null) return@call fail("status ${response.head.status}")
            if (after == null) listedAt = page.storeRevision
            listing += page.items.mapNotNull { item -> readServer(item)?.let { ListedServer(it, item.created) } }
            val last = page.items.lastOrNull()?.key
            if (page.hasMore && last != null && last != after) return@call list(last)
            reached = listedAt
            probe(0)
        }

        /** Asks for the changes after [revision], which the store has dropped if its history begins later. */
        private fun probe(revision: Long) {
            if (lowest >= reached) return end()
            call(protocol.watchRequest(items.serverPrefix, revision, WAIT)) { response ->
                when (response.head.status) {
                    OK -> {
                        val read = protocol.readChanges(response.body) ?: return@call fail("unreadable changes")
                        changes = read.changes
                        reached = revision
                    }

                    GONE -> lowest = revision + 1

                    else -> return@call fail("status ${response.head.status}")
                }
                probe(lowest + (reached - lowest) / 2)
            }
        }

        private fun call(request: HttpRequestMessage, onResponse: (HttpResponseMessage) -> Unit) =
            call(request, ::fail, onResponse)

        private fun fail(detail: String) {
            reportFailure(detail)
            onResult(null)
        }

        private fun end() {
            log.info("history_read") {
                field("first_revision", reached)
                field("listed_revision", listedAt)
                field("changes", changes.size)
            }
            val written = writtenServers(changes)
            val removed = changes.filterIsInstance<StoreChange.Removed>().map { items.serverId(it.key) }
            onResult(PublishedHistory(listing, firstRevision = reached, written, removed.toSet()))
        }
    }

    private companion object {
        const val OK = 200
        const val GONE = 410
        val CONNECT_TIMEOUT = 400.milliseconds
        val TIMEOUT = 1.seconds

        /** Time for which the store waits for changes if there are none in its history. */
        val WAIT = 1.milliseconds
    }
}
