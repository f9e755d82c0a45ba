/*
 * Follows the items under one prefix of the store: lists them, then waits for changes.
 *
 * What was read stays valid while the store is away. A peer that reached the store may supply a newer state; an older
 * one never replaces a newer one.
 */
package org.arbutusnotch.forwarding.registry

import com.github.michaelbull.result.fold
import io.netty.channel.EventLoopGroup
import org.arbutusnotch.core.forwarding.AnswerBufferBudget
import org.arbutusnotch.core.time.Timestamp
import org.arbutusnotch.forwarding.http.CallEnd
import org.arbutusnotch.forwarding.http.HttpRequestMessage
import org.arbutusnotch.forwarding.http.HttpResponseMessage
import org.arbutusnotch.forwarding.http.SingleCall
import org.arbutusnotch.telemetry.Clock
import org.arbutusnotch.telemetry.EventLog
import java.net.InetSocketAddress
import java.util.concurrent.TimeUnit
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Is told of changes of the followed items. */
internal interface StoreListener {
    /** The items are exactly [items]. */
    fun onReplaced(items: Collection<StoreItem>)

    /** One item changed. */
    fun onChanged(change: StoreChange)

    /** A call to the store failed. */
    fun onTrouble()
}

internal class StoreFollower(
    private val prefix: String,
    private val address: InetSocketAddress,
    private val protocol: StoreProtocol,
    private val group: EventLoopGroup,
    private val clock: Clock,
    private val random: Random,
    private val listener: StoreListener,
    private val memory: AnswerBufferBudget,
) {
    private val log = EventLog("store")
    private val items = LinkedHashMap<String, StoreItem>()
    private var listing = mutableListOf<StoreItem>()
    private var failures = 0
    private var current: SingleCall? = null
    private var troubledSince: Timestamp? = null

    /** Revision of the store up to which [items] are known; negative before the first listing. */
    var revision: Long = UNKNOWN_REVISION
        private set

    /** Whether the latest call failed. */
    val isTroubled: Boolean
        get() = troubledSince != null

    /** Returns what is known, to be passed to a peer. */
    fun snapshot(): Collection<StoreItem> = items.values

    fun start() = list(after = null)

    /** Takes over the state of a peer if it is newer, and continues to watch from there. */
    fun adopt(peerItems: List<StoreItem>, peerRevision: Long) {
        if (peerRevision <= revision) return
        log.info("state_adopted") {
            field("prefix", prefix)
            field("revision", peerRevision)
            field("previous_revision", revision)
            field("items", peerItems.size)
        }
        replace(peerItems, peerRevision)
    }

    private fun list(after: String?) {
        if (after == null) listing = mutableListOf()
        call(protocol.listRequest(prefix, after), LIST_TIME) { response -> onPage(response) }
    }

    private fun onPage(response: HttpResponseMessage) {
        val page = protocol.readPage(response.body)
        if (page == null) return retryLater("unreadable listing")
        listing += page.items
        val last = page.items.lastOrNull()
        if (page.more && last != null) return list(last.key)
        noteSuccess()
        if (page.storeRevision >= revision) replace(listing, page.storeRevision)
        watch()
    }

    private fun replace(complete: List<StoreItem>, at: Long) {
        items.clear()
        complete.forEach { items[it.key] = it }
        revision = at
        listener.onReplaced(items.values)
    }

    private fun watch() {
        call(protocol.watchRequest(prefix, revision, WATCH_TIME), WATCH_TIME + WATCH_MARGIN) { onChanges(it) }
    }

    private fun onChanges(response: HttpResponseMessage) {
        val changes = protocol.readChanges(response.body)
        if (changes == null) return retryLater("unreadable changes")
        noteSuccess()
        changes.changes.forEach { apply(it) }
        revision = maxOf(revision, changes.storeRevision)
        watch()
    }

    private fun apply(change: StoreChange) {
        when (change) {
            is StoreChange.Written -> {
                val known = items[change.item.key]
                if (known != null && known.revision >= change.item.revision) return
                items[change.item.key] = change.item
            }

            is StoreChange.Removed -> {
                val known = items[change.key] ?: return
                if (known.revision >= change.revision) return
                items.remove(change.key)
            }
        }
        listener.onChanged(change)
    }

    private fun call(request: HttpRequestMessage, time: Duration, onAnswer: (HttpResponseMessage) -> Unit) {
        val call = SingleCall(request, CONNECT_TIME, time, memory) { result ->
            result.fold(success = { onResponse(it, onAnswer) }, failure = { onFailure(it) })
        }
        current = call
        call.start(address, group)
    }

    private fun onResponse(response: HttpResponseMessage, onAnswer: (HttpResponseMessage) -> Unit) {
        when (response.head.status) {
            OK -> onAnswer(response)

            GONE -> {
                log.info("history_gone") {
                    field("prefix", prefix)
                    field("revision", revision)
                }
                listener.onTrouble()
                list(after = null)
            }

            else -> retryLater("status ${response.head.status}")
        }
    }

    private fun onFailure(end: CallEnd) = when (end) {
        CallEnd.Complete, CallEnd.Withheld -> Unit
        is CallEnd.NotSent -> retryLater(end.detail)
        is CallEnd.Broken -> retryLater(end.detail)
    }

    private fun retryLater(detail: String) {
        listener.onTrouble()
        if (troubledSince == null) {
            troubledSince = clock.now()
            log.warn("store_lost") {
                field("prefix", prefix)
                field("revision", revision)
                field("detail", detail)
            }
        }
        failures += 1
        val pause = minOf(FIRST_PAUSE * (1 shl minOf(failures - 1, MAXIMUM_DOUBLINGS)), LONGEST_PAUSE)
        val spread = pause.inWholeMilliseconds / 2 + random.nextLong(pause.inWholeMilliseconds / 2 + 1)
        val continues = { if (revision == UNKNOWN_REVISION) list(after = null) else watch() }
        group.schedule(continues, spread, TimeUnit.MILLISECONDS)
    }

    private fun noteSuccess() {
        failures = 0
        val since = troubledSince ?: return
        troubledSince = null
        log.info("store_regained") {
            field("prefix", prefix)
            field("revision", revision)
            field("away_millis", (clock.now() - since).inWholeMilliseconds)
        }
    }

    private companion object {
        const val UNKNOWN_REVISION = -1L
        const val OK = 200
        const val GONE = 410
        val CONNECT_TIME = 700.milliseconds

        /** Time for a listing: that of a slow store many times over. Without one an instance cannot serve. */
        val LIST_TIME = 1.seconds

        /** Time for which one call waits for changes; each call is paid for. */
        val WATCH_TIME = 20.seconds

        /** Time after the end of the wait within which the answer must arrive. */
        val WATCH_MARGIN = 2.seconds

        /** Pause after the first failed call; it doubles with each further one. */
        val FIRST_PAUSE = 100.milliseconds
        val LONGEST_PAUSE = 800.milliseconds
        const val MAXIMUM_DOUBLINGS = 3
    }
}
