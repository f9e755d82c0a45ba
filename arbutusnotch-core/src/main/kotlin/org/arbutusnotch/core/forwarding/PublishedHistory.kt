/*
 * What the history of the store tells an instance that has just started about the versions that served before.
 *
 * The history reaches back some seconds only, carries no times, and may be dropped at any moment. So it counts only if
 * it holds the registration of every server that started within the time in question.
 */
package org.arbutusnotch.core.forwarding

import org.arbutusnotch.core.id.BackendServerId
import org.arbutusnotch.core.id.PoolId
import org.arbutusnotch.core.id.SoftwareVersion
import org.arbutusnotch.core.time.Timestamp
import kotlin.time.Duration.Companion.seconds

/** Describes an entry that the store lists; [created] is the store revision at which it was first written. */
public data class ListedServer(public val server: BackendServer, public val created: Long)

/**
 * Holds a listing of the registered servers and the changes before it.
 *
 * @property listed the servers at the end of the history
 * @property firstRevision store revision after which every change is known
 * @property written servers as they were written after [firstRevision], in order
 * @property removed servers whose entries were removed after [firstRevision]
 */
public class PublishedHistory(
    public val listed: List<ListedServer>,
    public val firstRevision: Long,
    public val written: List<BackendServer>,
    public val removed: Set<BackendServerId>,
) {
    /** The servers at the end of the history and as they were written in it. */
    public val servers: List<BackendServer>
        get() = listed.map { it.server } + written

    /** Returns the versions that servers of [pool] have had since [since]; null if the history does not tell. */
    public fun versions(pool: PoolId, since: Timestamp): Set<SoftwareVersion>? {
        val inPool = listed.filter { it.server.pool == pool }
        val writtenIds = written.map { it.id }.toSet()
        val earliestStart = (since - CLOCK_DIFFERENCE).epochMillis
        val lacksRegistration = inPool.any { it.server.startedAt >= earliestStart && it.created <= firstRevision }
        val lacksContent = removed.any { it !in writtenIds }
        if (lacksRegistration || lacksContent) return null
        return (inPool.map { it.server } + written.filter { it.pool == pool }).map { it.version }.toSet()
    }

    private companion object {
        /** Time by which the clock of a server may differ from that of this instance. */
        val CLOCK_DIFFERENCE = 1.seconds
    }
}
