/*
 * What the platform publishes: versions of one configuration value and the instance list, with the faults that a reader
 * must cope with.
 */
package org.arbutusnotch.testing.platform

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import java.util.concurrent.CompletableFuture

/** Describes an instance in the published list. */
@Serializable
public data class ListedInstance(
    public val peerAddress: String,
    public val entryAddress: String,
    public val operatorAddress: String,
    public val failureDomain: String,
    public val state: String = "live",
)

/** Holds the body of `PUT /emulator/instances`. */
@Serializable
public data class InstanceUpdate(public val instances: List<ListedInstance>)

/** Holds the answer to `GET /platform/instances`. */
@Serializable
public data class InstanceListing(public val asOfEpochMillis: Long, public val instances: List<ListedInstance>)

/** Names a fault of the platform; see `POST /emulator/faults`. */
@Serializable
public sealed interface PlatformFault {
    /** Answers every platform call with status 503 until [Clear]. */
    @Serializable
    @SerialName("down")
    public data object Down : PlatformFault

    /** Keeps serving the version that is current now, or [version], until [Clear]; watches see nothing newer. */
    @Serializable
    @SerialName("stale")
    public data class Stale(public val version: Long? = null) : PlatformFault

    /** Leaves the instances with these peer addresses out of the list. */
    @Serializable
    @SerialName("omit")
    public data class Omit(public val peerAddresses: List<String>) : PlatformFault

    /** Keeps the instances with these peer addresses in the list when an update removes them. */
    @Serializable
    @SerialName("keep")
    public data class Keep(public val peerAddresses: List<String>) : PlatformFault

    /** Ends every fault. */
    @Serializable
    @SerialName("clear")
    public data object Clear : PlatformFault
}

/** Holds one version of the configuration value. */
internal class StoredVersion(val version: Long, val bytes: ByteArray)

/** Holds the published values; every method may be called from any thread. */
internal class PlatformStore(private val publicationLagMillis: Long, private val now: () -> Long) {
    private class ListVersion(val publishAt: Long, val instances: List<ListedInstance>)

    private val versions = mutableListOf<StoredVersion>()
    private val lists = mutableListOf<ListVersion>()
    private val seen = mutableMapOf<String, ListedInstance>()
    private val watches = mutableSetOf<CompletableFuture<Unit>>()
    private var omitted = emptySet<String>()
    private var kept = emptySet<String>()
    private var frozen: Long? = null

    /** Whether the platform answers nothing. */
    @Volatile
    var isDown: Boolean = false
        private set

    /** Adds a version without any check of its content and wakes the watches. */
    fun putConfiguration(bytes: ByteArray): Long = synchronized(this) {
        // Versions start at the time of day, so that they still rise after a restart of the emulator.
        val version = maxOf(now(), (versions.lastOrNull()?.version ?: 0) + 1)
        versions += StoredVersion(version, bytes)
        if (frozen == null) wakeWatches()
        version
    }

    /** Returns the version that a reader sees now. */
    fun visibleVersion(): StoredVersion? = synchronized(this) {
        val limit = frozen ?: Long.MAX_VALUE
        versions.lastOrNull { it.version <= limit }
    }

    /** Returns a future that completes when something changed; the watch counts as pending until it is completed. */
    fun watch(): CompletableFuture<Unit> = synchronized(this) {
        CompletableFuture<Unit>().also { watch ->
            watches += watch
            watch.whenComplete { _, _ -> synchronized(this) { watches -= watch } }
        }
    }

    /** Number of watches that wait now. */
    fun pendingWatches(): Int = synchronized(this) { watches.size }

    /** Accepts a new instance list; readers see it after the publication lag, or at once with [immediately]. */
    fun putInstances(instances: List<ListedInstance>, immediately: Boolean = false): Unit = synchronized(this) {
        lists += ListVersion(if (immediately) now() else now() + publicationLagMillis, instances)
        instances.forEach { seen[it.peerAddress] = it }
    }

    /** Returns the list that a reader sees now. */
    fun listing(): InstanceListing = synchronized(this) {
        val time = now()
        val published = lists.lastOrNull { it.publishAt <= time }
        val base = published?.instances.orEmpty()
        val dead = kept.filter { address -> base.none { it.peerAddress == address } }.mapNotNull { seen[it] }
        InstanceListing(published?.publishAt ?: time, (base + dead).filter { it.peerAddress !in omitted })
    }

    /** Starts or ends a fault. */
    fun apply(fault: PlatformFault): Unit = synchronized(this) {
        when (fault) {
            PlatformFault.Down -> isDown = true
            is PlatformFault.Stale -> frozen = fault.version ?: versions.lastOrNull()?.version ?: 0
            is PlatformFault.Omit -> omitted = fault.peerAddresses.toSet()
            is PlatformFault.Keep -> kept = fault.peerAddresses.toSet()
            PlatformFault.Clear -> clear()
        }
        wakeWatches()
    }

    private fun clear() {
        isDown = false
        frozen = null
        omitted = emptySet()
        kept = emptySet()
    }

    private fun wakeWatches() = watches.toList().forEach { it.complete(Unit) }
}

/**
 * Limits the calls of all readers per second. A watch that is pending when a second begins counts as a call of that
 * second.
 */
internal class CallBudget(
    private val callsPerSecond: Int,
    private val now: () -> Long,
    private val pendingWatches: () -> Int,
) {
    private var second = Long.MIN_VALUE
    private var spent = 0

    /** Counts one call; returns false when the budget of this second is spent. */
    fun tryCall(): Boolean = synchronized(this) {
        val current = now() / MILLIS_PER_SECOND
        if (current != second) {
            second = current
            spent = pendingWatches()
        }
        if (spent >= callsPerSecond) return false
        spent++
        return true
    }

    private companion object {
        const val MILLIS_PER_SECOND = 1_000L
    }
}
