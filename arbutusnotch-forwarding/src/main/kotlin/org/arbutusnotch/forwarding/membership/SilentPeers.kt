/*
 * Tracks the instances that do not answer messages which are resent until they are answered.
 *
 * An instance that answers other messages is busy or lost one; one that answers nothing for a while is skipped, so that
 * another instance is asked in its place.
 */
package org.arbutusnotch.forwarding.membership

import org.arbutusnotch.core.id.InstanceAddress
import org.arbutusnotch.core.time.Timestamp
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Tracks the replies to messages of [self], which is never silent.
 *
 * @param onSilent is called with the address of an instance that is skipped from now on
 */
internal class SilentPeers(private val self: InstanceAddress, private val onSilent: (InstanceAddress) -> Unit) {
    private val skippedUntil = HashMap<InstanceAddress, Timestamp>()
    private val lastReplyAt = HashMap<InstanceAddress, Timestamp>()

    /** Instances that must not be asked now. */
    val skipped: Set<InstanceAddress>
        get() = skippedUntil.keys

    fun recordReply(peer: InstanceAddress, now: Timestamp) {
        skippedUntil.remove(peer)
        lastReplyAt[peer] = now
    }

    /** Returns whether [peer] has answered nothing for a while, with [unansweredSends] of one message. */
    fun isSilent(peer: InstanceAddress, unansweredSends: Int, now: Timestamp): Boolean =
        unansweredSends >= MAXIMUM_UNANSWERED_SENDS && peer != self &&
            now >= (lastReplyAt[peer] ?: Timestamp(0)) + SILENCE

    fun skip(peer: InstanceAddress, now: Timestamp) {
        skippedUntil[peer] = now + SKIPPED_TIME
        onSilent(peer)
    }

    fun tick(now: Timestamp) {
        skippedUntil.values.removeIf { it <= now }
    }

    companion object {
        /** Time until an unanswered message is resent: several round trips between failure domains. */
        val RESEND_INTERVAL = 40.milliseconds

        /** Consecutive unanswered sends after which an instance is skipped if it is silent. */
        private const val MAXIMUM_UNANSWERED_SENDS = 3

        /** Time since its latest reply after which an instance that does not answer a message counts as silent. */
        private val SILENCE = 300.milliseconds

        /** Time for which a silent instance is skipped; the membership view detects its failure by then. */
        private val SKIPPED_TIME = 2.seconds
    }
}
