/*
 * Passes configuration files from the platform and from peers to the revision table, and serves them to peers.
 */
package org.arbutusnotch.daemon.control

import org.arbutusnotch.core.id.InstanceAddress
import org.arbutusnotch.core.message.ConfigurationContent
import org.arbutusnotch.core.message.ConfigurationFetch
import org.arbutusnotch.core.message.RevisionMark
import org.arbutusnotch.telemetry.Clock

/** Offers configuration files to the revision table and exchanges them with peers. */
internal class ConfigurationExchange(
    private val loop: ControlLoop,
    private val clock: Clock,
    private val updater: TableUpdater,
    private val parser: ConfigurationParser,
    private val onEvent: suspend (ControlEvent) -> Unit,
) {
    /** Offers [bytes], read from the platform or fetched from a peer, after parsing them outside the control thread. */
    suspend fun offer(bytes: ByteArray) {
        parser.parse(bytes)
        val changes = loop.run {
            val now = clock.now()
            revisions.offer(bytes, now).flatMap { updater.apply(it, now) }
        }
        changes.forEach { onEvent(it) }
    }

    /** Returns the content of the revision that a peer fetches. */
    suspend fun content(fetch: ConfigurationFetch): ConfigurationContent =
        ConfigurationContent(fetch.mark, loop.run { revisions.bytesOf(fetch.mark) })

    /** Fetches the bytes of the revision [mark] from [peer] with [request] and offers them. */
    suspend fun fetch(
        peer: InstanceAddress,
        mark: RevisionMark,
        request: suspend (InstanceAddress, ConfigurationFetch) -> ConfigurationContent?,
    ) {
        val content = request(peer, ConfigurationFetch(mark)) ?: return
        content.bytes?.let { offer(it) }
    }
}
