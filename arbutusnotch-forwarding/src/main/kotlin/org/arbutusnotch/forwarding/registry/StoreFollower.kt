/*
 * Follows the items under one prefix of the store: lists them, then watches for changes.
 *
 * Items that were read remain valid while the store is unavailable. A peer that can reach the store may supply a newer
 * state; an older state never replaces a newer one. After an answer that leads no further, whatever it is, the next
 * call waits longer each time.
 */
package org.arbutusnotch.forwarding.registry

import com.github.michaelbull.result.fold
import io.netty.channel.EventLoopGroup
import org.arbutusnotch.core.forwarding.AnswerBufferBudget
import org.arbutusnotch.core.forwarding.StorePosition
import org.arbutusnotch.core.forwarding.WatchSpacing
import org.arbutusnotch.core.forwarding.WatchTime
import org.arbutusnotch.core.time.Timestamp
import org.arbutusnotch.core.time.backoff
import org.arbutusnotch.forwarding.http.BufferedCall
import org.arbutusnotch.forwarding.http.CallEnd
import org.arbutusnotch.forwarding.http.HttpRequestMessage
import org.arbutusnotch.forwarding.http.HttpResponseMessage
import org.arbutusnotch.telemetry.Clock
import org.arbutusnotch.telemetry.EventLog
import java.net.InetSocketAddress
import java.util.concurrent.TimeUnit
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Observes changes of the followed items. */
internal interface StoreListener {
    /**
     * The followed items were replaced as a whole by [items]. If the store was [restored] from a copy since it was last
     * read, items may be older than those that were known, and recent ones may be missing.
     */
    fun onReplaced(items: Collection<StoreItem>, restored: Boolean)

    /** One item changed. */
    fun onChanged(change: StoreChange)

    /** Returns [item] as it is kept in memory and passed on to peers: without its value if that is of no use. */
    fun retained(item: StoreItem): StoreItem = item

    /** A call to the store failed, which may have been unavailable since [since]. */
    fun onStoreFailure(since: Timestamp)

    /** The store answers again after a failure; called before the changes in the answer. */
    fun onStoreRecovery()
}

/**
 * Follows the items under [prefix].
 *
 * @param watchTime returns for how long the next call waits for changes
 * @param onCurrent is called when the answer to a call that was sent at the first time shows that the items were
 * current at the second one
 */
internal class StoreFollower(
    private val prefix: String,
    private val address: InetSocketAddress,
    private val protocol: StoreProtocol,
    private val group: EventLoopGroup,
    private val clock: Clock,
    private val random: Random,
    private val listener: StoreListener,
    private val memory: AnswerBufferBudget,
    private val watchTime: () -> Duration = { WatchTime.of(instances = 1) },
    private val onCurrent: (sentAt: Timestamp, validAt: Timestamp) -> Unit = { _, _ -> },
) {
    private val log = EventLog("store")
    private val items = FollowedItems()
    private val spacing = WatchSpacing()
    private var listing = mutableListOf<StoreItem>()
    private var listingPosition: StorePosition? = null
    private var listingBegunAt = Timestamp(0)

    /** Whether changes since [position] are no longer available. */
    private var historyLost = false

    /** Number of consecutive calls that led no further. */
    private var fruitlessCalls = 0
    private var current: BufferedCall? = null

    /** Whether the latest call waits for changes. */
    var isWatching = false
        private set

    /** Time at which the latest call was sent if it is a watch that does not wait; null otherwise. */
    private var checkBegunAt: Timestamp? = null

    /** Whether the latest call only asks whether the items are current, which leads no further if they are. */
    private var confirms = false
    private var failingSince: Timestamp? = null

    /** Time by which the next step follows; null before the start. */
    private var expectedBy: Timestamp? = null

    /** Number of the latest call or wait; earlier ones have no effect when they end. */
    private var step = 0L

    /** Position in the store up to which the items are current; null before the first listing. */
    val position: StorePosition?
        get() = items.position

    /** The latest known change of the items; null while none is known. */
    val latestChange: StorePosition?
        get() = items.latestChange

    /** Whether the latest call failed. */
    val isFailing: Boolean
        get() = failingSince != null

    /** Returns the known items, for a peer that cannot reach the store. */
    fun snapshot(): Collection<StoreItem> = items.values

    fun start() = list(after = null)

    /** Adopts the state of a peer if it is newer; the next watch continues from its position. */
    fun adopt(peerItems: List<StoreItem>, peerPosition: StorePosition) {
        if (!items.isAdvance(peerPosition)) return
        log.info("state_adopted") {
            field("prefix", prefix)
            field("era", peerPosition.era)
            field("revision", peerPosition.revision)
            field("previous_revision", position?.revision)
            field("items", peerItems.size)
        }
        replace(peerItems.map { listener.retained(it) }, peerPosition)
    }

    /**
     * Replaces the waiting call, whose answer seems to be lost, by one that does not wait. Has no effect unless a call
     * waits, since other calls end soon.
     */
    fun checkForChanges() {
        val from = position
        if (!isWatching || from == null) return
        log.info("changes_missed") {
            field("prefix", prefix)
            field("revision", from.revision)
        }
        current?.cancel()
        watch(from, IMMEDIATE_DURATION)
    }

    /**
     * Replaces the waiting call by one that does not wait, to learn whether the items are current. Has no effect if the
     * latest call does not wait either and was sent at [notBefore] or later.
     */
    fun confirm(notBefore: Timestamp) {
        val from = position
        val isChecking = checkBegunAt.let { it != null && it >= notBefore }
        if (!isWatching || from == null || isChecking) return
        current?.cancel()
        watch(from, IMMEDIATE_DURATION)
        confirms = true
    }

    private fun list(after: String?) {
        if (after == null) {
            listingBegunAt = clock.now()
            listing = mutableListOf()
            listingPosition = null
        }
        call(protocol.listRequest(prefix, after), LIST_TIMEOUT) { response, era -> onPage(response, era, after) }
    }

    private fun onPage(response: HttpResponseMessage, era: Long, after: String?) {
        val page = protocol.readPage(response.body)
        if (page == null) return retryAfterFailure("unreadable listing")
        // Changes made while the pages are read are watched, so the position is that of the first page.
        val start = listingPosition ?: StorePosition(era, page.storeRevision).also { listingPosition = it }
        if (start.era != era) return retryAfterFailure("store restored during a listing")
        page.items.mapTo(listing) { listener.retained(it) }
        val last = page.items.lastOrNull()?.key
        if (page.hasMore && last != null) {
            if (after != null && last <= after) return retryAfterFailure("listing does not advance")
            return list(last)
        }
        recordSuccess()
        historyLost = false
        if (replace(listing, start)) onCurrent(listingBegunAt, listingBegunAt)
        proceed()
    }

    /** Returns whether [newItems] are not older than the known ones. */
    private fun replace(newItems: List<StoreItem>, newPosition: StorePosition): Boolean {
        val previous = position
        val replacement = items.replace(newItems, newPosition)
        if (replacement == Replacement.OUTDATED) return false
        if (replacement == Replacement.RESTORED) {
            log.warn("store_restored") {
                field("prefix", prefix)
                field("era", newPosition.era)
                field("previous_era", previous?.era)
                field("revision", newPosition.revision)
                field("previous_revision", previous?.revision)
            }
        }
        listener.onReplaced(items.values, restored = replacement == Replacement.RESTORED)
        return true
    }

    /** Watches for further changes, or lists if they cannot be watched. */
    private fun proceed() {
        val from = position
        if (from == null || historyLost || items.needsListing) list(after = null) else watch(from)
    }

    /**
     * Watches for [duration]. After a failed call the store may have been restored, and a watch names the era only when
     * it is answered.
     */
    private fun watch(from: StorePosition, duration: Duration = if (isFailing) IMMEDIATE_DURATION else watchTime()) {
        val begunAt = clock.now()
        val request = protocol.watchRequest(prefix, from.revision, duration)
        call(request, duration + WATCH_MARGIN) { response, era ->
            onChanges(response, from, era, begunAt, duration)
        }
        isWatching = true
        checkBegunAt = begunAt.takeIf { duration == IMMEDIATE_DURATION }
    }

    private fun onChanges(
        response: HttpResponseMessage,
        from: StorePosition,
        era: Long,
        begunAt: Timestamp,
        duration: Duration,
    ) {
        val changes = protocol.readChanges(response.body)
        if (changes == null) return retryAfterFailure("unreadable changes")
        val asksOnce = isFailing || confirms
        recordSuccess()
        // Revisions of a later era do not continue those of the position that was watched.
        if (era != from.era || items.needsListing) return resumeLater()
        changes.changes.map { retained(it) }.forEach { if (items.apply(it)) listener.onChanged(it) }
        val pause = if (changes.changes.isEmpty()) Duration.ZERO else spacing.recordAnswer(clock.now())
        val advanced = items.advanceTo(StorePosition(era, changes.storeRevision))
        val isFruitful = advanced || clock.now() >= begunAt + MINIMUM_WATCH_DURATION
        if (isFruitful) fruitlessCalls = 0
        // The store has waited to the end of the duration, unless the answer arrives earlier than that.
        val waitedUntil = begunAt + duration - WATCH_TOLERANCE
        val hasWaited = changes.changes.isEmpty() && clock.now() >= waitedUntil
        onCurrent(begunAt, if (hasWaited) waitedUntil else begunAt)
        if (isFruitful || asksOnce) proceedAfter(pause) else resumeLater()
    }

    private fun retained(change: StoreChange): StoreChange = when (change) {
        is StoreChange.Written -> StoreChange.Written(listener.retained(change.item))
        is StoreChange.Removed -> change
    }

    private fun proceedAfter(pause: Duration) = if (pause > Duration.ZERO) resumeAfter(pause) else proceed()

    private fun call(
        request: HttpRequestMessage,
        timeout: Duration,
        onSuccess: (response: HttpResponseMessage, era: Long) -> Unit,
    ) {
        step += 1
        val ownStep = step
        val startedAt = clock.now()
        val call = BufferedCall(request, CONNECT_TIMEOUT, timeout, memory) { result ->
            if (ownStep == step) {
                val wasWatching = isWatching
                isWatching = false
                continueAfterFailure {
                    result.fold(
                        success = { onResponse(it, onSuccess) },
                        failure = { onFailure(it, startedAt, wasWatching) },
                    )
                }
            }
        }
        current = call
        isWatching = false
        checkBegunAt = null
        confirms = false
        expectedBy = startedAt + timeout + STOPPED_MARGIN
        call.start(address, group)
    }

    @Suppress("TooGenericExceptionCaught") // An error in an answer must not end the following.
    private fun continueAfterFailure(handle: () -> Unit) = try {
        handle()
    } catch (failure: RuntimeException) {
        retryAfterError(failure)
    } catch (failure: StackOverflowError) {
        retryAfterError(failure)
    }

    private fun retryAfterError(failure: Throwable) {
        log.error("store_answer_failed", failure) { field("prefix", prefix) }
        retryAfterFailure(failure.toString())
    }

    /** Lists again if neither an answer nor the end of a wait has arrived in time. */
    fun restartIfStopped() {
        val expected = expectedBy ?: return
        if (clock.now() <= expected) return
        log.warn("store_following_stopped") {
            field("prefix", prefix)
            field("revision", position?.revision)
        }
        current?.cancel()
        list(after = null)
    }

    private fun onResponse(
        response: HttpResponseMessage,
        onSuccess: (response: HttpResponseMessage, era: Long) -> Unit,
    ) {
        val era = items.observeEra(protocol.readEra(response.head))
        when {
            items.isOutdated(era) -> retryAfterFailure("answer of the earlier era $era")

            response.head.status == OK -> onSuccess(response, era)

            response.head.status == GONE -> {
                log.info("history_gone") {
                    field("prefix", prefix)
                    field("era", era)
                    field("revision", position?.revision)
                }
                historyLost = true
                resumeLater()
            }

            else -> retryAfterFailure("status ${response.head.status}")
        }
    }

    /**
     * Lists after changes that are too large together, which the store would send again as long as it keeps its
     * history. The pages of a listing are small, and a listing has each item once.
     */
    private fun listInstead(end: CallEnd) {
        log.info("changes_too_large") {
            field("prefix", prefix)
            field("revision", position?.revision)
            field("detail", end)
        }
        historyLost = true
        resumeLater()
    }

    private fun onFailure(end: CallEnd, startedAt: Timestamp, wasWatching: Boolean) = when (end) {
        is CallEnd.Complete, CallEnd.Withheld -> Unit

        is CallEnd.NotSent -> retryAfterFailure(end.detail, since = startedAt)

        // A store that closes the connection was there until now; one that is silent may have been away all the time.
        is CallEnd.Broken -> if (wasWatching && end.exceedsMemory) {
            listInstead(end)
        } else {
            retryAfterFailure(end.detail, since = if (end.closedByServer) clock.now() else startedAt)
        }
    }

    private fun retryAfterFailure(detail: String, since: Timestamp = clock.now()) {
        listener.onStoreFailure(since)
        if (failingSince == null) {
            failingSince = clock.now()
            log.warn("store_lost") {
                field("prefix", prefix)
                field("revision", position?.revision)
                field("detail", detail)
            }
        }
        resumeLater()
    }

    private fun resumeLater() {
        val backoff = INITIAL_BACKOFF.backoff(fruitlessCalls, MAXIMUM_BACKOFF)
        fruitlessCalls += 1
        val jitteredDelay = backoff.inWholeMilliseconds / 2 + random.nextLong(backoff.inWholeMilliseconds / 2 + 1)
        resumeAfter(jitteredDelay.milliseconds)
    }

    private fun resumeAfter(delay: Duration) {
        step += 1
        val ownStep = step
        val resume = { if (ownStep == step) proceed() }
        expectedBy = clock.now() + delay + STOPPED_MARGIN
        group.schedule(resume, delay.inWholeMilliseconds, TimeUnit.MILLISECONDS)
    }

    private fun recordSuccess() {
        val since = failingSince ?: return
        failingSince = null
        listener.onStoreRecovery()
        log.info("store_regained") {
            field("prefix", prefix)
            field("revision", position?.revision)
            field("away_millis", (clock.now() - since).inWholeMilliseconds)
        }
    }

    private companion object {
        const val OK = 200
        const val GONE = 410
        val CONNECT_TIMEOUT = 700.milliseconds

        /** Timeout of a listing: many times that of a slow store, because an instance cannot serve without one. */
        val LIST_TIMEOUT = 1.seconds

        /** Time for which a call waits for changes that are known to exist, or that is to name the era of the store. */
        val IMMEDIATE_DURATION = 20.milliseconds

        /** Time after the end of the wait within which the response must arrive: many times that of a slow store. */
        val WATCH_MARGIN = 700.milliseconds

        /** Time by which the store may end a wait early, since timers are inexact. */
        val WATCH_TOLERANCE = 20.milliseconds

        /** Duration of a watch without changes below which the store has not waited for any. */
        val MINIMUM_WATCH_DURATION = 1.seconds - WATCH_TOLERANCE

        /** Time beyond which a missing step means that the following has stopped. */
        val STOPPED_MARGIN = 5.seconds

        /**
         * Backoff after the first call that leads no further; it doubles with each further one. At the maximum at least
         * 400 ms pass between two attempts of two calls, so that a follower makes five calls a second at most, besides
         * those for further pages of a listing.
         */
        val INITIAL_BACKOFF = 100.milliseconds
        val MAXIMUM_BACKOFF = 800.milliseconds
    }
}
