/*
 * Takes operators' files from the platform and from peers into the revision table.
 */
package org.arbutusnotch.daemon.control

import org.arbutusnotch.core.id.InstanceAddress
import org.arbutusnotch.core.message.ConfigurationContent
import org.arbutusnotch.core.message.ConfigurationFetch
import org.arbutusnotch.core.message.RevisionMark
import org.arbutusnotch.telemetry.Clock

/** Offers bytes to the revision table and answers fetches of peers. */
internal class ConfigurationIntake(
    private val loop: ControlLoop,
    private val clock: Clock,
    private val systems: TickSystems,
    private val parser: ConfigurationParser,
    private val events: suspend (ControlEvent) -> Unit,
) {
    /** Offers [bytes], which were read from the platform or fetched from a peer. */
    suspend fun offer(bytes: ByteArray) {
        parser.parse(bytes)
        val changes = loop.run {
            val now = clock.now()
            revisions.offer(bytes, now).flatMap { systems.apply(it, now) }
        }
        changes.forEach { events(it) }
    }

    /** Answers a peer that asks for a revision. */
    suspend fun content(fetch: ConfigurationFetch): ConfigurationContent =
        ConfigurationContent(fetch.mark, loop.run { revisions.bytesOf(fetch.mark) })

    /** Fetches the bytes of [mark] from [peer] by [request] and offers them. */
    suspend fun fetch(
        peer: InstanceAddress,
        mark: RevisionMark,
        request: suspend (InstanceAddress, ConfigurationFetch) -> ConfigurationContent?,
    ) {
        val content = request(peer, ConfigurationFetch(mark)) ?: return
        content.bytes?.let { offer(it) }
    }
}
