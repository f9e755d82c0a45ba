/*
 * Data that the platform emulator publishes: the versions of one configuration value and the instance list, with faults
 * that its clients must tolerate.
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

/** Represents a fault to inject into the platform; the body of `POST /emulator/faults`. */
@Serializable
public sealed interface PlatformFault {
    /** Fails every platform call with status 503 until [Clear]. */
    @Serializable
    @SerialName("down")
    public data object Down : PlatformFault

    /** Serves no version newer than [version], or than the current one when null, until [Clear]; also to watches. */
    @Serializable
    @SerialName("stale")
    public data class Stale(public val version: Long? = null) : PlatformFault

    /** Omits the instances with these peer addresses from the list. */
    @Serializable
    @SerialName("omit")
    public data class Omit(public val peerAddresses: List<String>) : PlatformFault

    /** Keeps the instances with these peer addresses in the list when an update removes them. */
    @Serializable
    @SerialName("keep")
    public data class Keep(public val peerAddresses: List<String>) : PlatformFault

    /** Ends all active faults. */
    @Serializable
    @SerialName("clear")
    public data object Clear : PlatformFault
}

/** Holds one version of the configuration value. */
internal class StoredVersion(val version: Long, val bytes: ByteArray)

/** Holds the published data; thread-safe. */
internal class PlatformStore(private val listLagMillis: Long, private val now: () -> Long) {
    private class ScheduledList(val publishAtEpochMillis: Long, val instances: List<ListedInstance>)

    private val versions = mutableListOf<StoredVersion>()
    private val instanceLists = mutableListOf<ScheduledList>()
    private val lastKnownInstances = mutableMapOf<String, ListedInstance>()
    private val watches = mutableSetOf<CompletableFuture<Unit>>()
    private var omittedAddresses = emptySet<String>()
    private var keptAddresses = emptySet<String>()
    private var newestServedVersion: Long? = null

    /** Whether every platform call fails with status 503. */
    @Volatile
    var isDown: Boolean = false
        private set

    /** Adds a version without validating its content, completes the pending watches and returns the version. */
    fun putConfiguration(bytes: ByteArray): Long = synchronized(this) {
        // Versions start at the current time, so that they keep increasing after a restart of the emulator.
        val version = maxOf(now(), (versions.lastOrNull()?.version ?: 0) + 1)
        versions += StoredVersion(version, bytes)
        if (newestServedVersion == null) completeWatches()
        version
    }

    /** Returns the version that is currently served; null when there is none. */
    fun visibleVersion(): StoredVersion? = synchronized(this) {
        val limit = newestServedVersion ?: Long.MAX_VALUE
        versions.lastOrNull { it.version <= limit }
    }

    /** Returns a future that completes on the next change or fault; it counts as a pending watch until it completes. */
    fun watch(): CompletableFuture<Unit> = synchronized(this) {
        CompletableFuture<Unit>().also { watch ->
            watches += watch
            watch.whenComplete { _, _ -> synchronized(this) { watches -= watch } }
        }
    }

    /** Returns the number of pending watches. */
    fun pendingWatches(): Int = synchronized(this) { watches.size }

    /** Stores a new instance list, which is published after the list lag, or right away with [immediately]. */
    fun putInstances(instances: List<ListedInstance>, immediately: Boolean = false): Unit = synchronized(this) {
        instanceLists += ScheduledList(if (immediately) now() else now() + listLagMillis, instances)
        instances.forEach { lastKnownInstances[it.peerAddress] = it }
    }

    /** Returns the instance list that is currently served, with the active faults applied. */
    fun visibleInstances(): InstanceListing = synchronized(this) {
        val time = now()
        val published = instanceLists.lastOrNull { it.publishAtEpochMillis <= time }
        val publishedInstances = published?.instances.orEmpty()
        val keptInstances = keptAddresses
            .filter { address -> publishedInstances.none { it.peerAddress == address } }
            .mapNotNull { lastKnownInstances[it] }
        InstanceListing(
            asOfEpochMillis = published?.publishAtEpochMillis ?: time,
            instances = (publishedInstances + keptInstances).filter { it.peerAddress !in omittedAddresses },
        )
    }

    /** Starts [fault], or ends all faults with [PlatformFault.Clear], and completes the pending watches. */
    fun apply(fault: PlatformFault): Unit = synchronized(this) {
        when (fault) {
            PlatformFault.Down -> isDown = true
            is PlatformFault.Stale -> newestServedVersion = fault.version ?: versions.lastOrNull()?.version ?: 0
            is PlatformFault.Omit -> omittedAddresses = fault.peerAddresses.toSet()
            is PlatformFault.Keep -> keptAddresses = fault.peerAddresses.toSet()
            PlatformFault.Clear -> clear()
        }
        completeWatches()
    }

    private fun clear() {
        isDown = false
        newestServedVersion = null
        omittedAddresses = emptySet()
        keptAddresses = emptySet()
    }

    private fun completeWatches() = watches.toList().forEach { it.complete(Unit) }
}

/**
 * Limits the calls of all clients together per second. A watch that is pending at the first call of a second counts as
 * a call in that second.
 */
internal class CallRateLimiter(
    private val callsPerSecond: Int,
    private val now: () -> Long,
    private val pendingWatches: () -> Int,
) {
    private var currentSecond = Long.MIN_VALUE
    private var callsThisSecond = 0

    /** Counts one call; returns false when the limit of the current second is reached. */
    fun tryAcquire(): Boolean = synchronized(this) {
        val second = now() / MILLIS_PER_SECOND
        if (second != currentSecond) {
            currentSecond = second
            callsThisSecond = pendingWatches()
        }
        if (callsThisSecond >= callsPerSecond) return false
        callsThisSecond++
        return true
    }

    private companion object {
        const val MILLIS_PER_SECOND = 1_000L
    }
}
