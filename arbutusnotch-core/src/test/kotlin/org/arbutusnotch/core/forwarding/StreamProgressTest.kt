/*
 * Streams that stall, that are slow, and that nobody reads.
 */
package org.arbutusnotch.core.forwarding

import org.arbutusnotch.core.time.Timestamp
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class StreamProgressTest {
    private val start = Timestamp(1_000_000)
    private val progress = StreamProgress(limit = 2.seconds, begunAt = start)

    @Test
    fun `stream stalls after its limit without an event`() {
        progress.noteEvent(start + 500.milliseconds)
        expectThat(progress.isStalled(start + 2_499.milliseconds)).isFalse()
        expectThat(progress.isStalled(start + 2_500.milliseconds)).isTrue()
        expectThat(progress.nextCheck(start + 600.milliseconds)).isEqualTo(start + 2_500.milliseconds)
    }

    /** Guards against a caller that reads slowly and whose stream is taken for a stalled one. */
    @Test
    fun `stream that is not read does not stall`() {
        progress.pause()
        expectThat(progress.isStalled(start + 60.seconds)).isFalse()
        progress.resume(start + 60.seconds)
        expectThat(progress.isStalled(start + 61.seconds)).isFalse()
        expectThat(progress.isStalled(start + 62.seconds)).isTrue()
    }

    /** Guards against a check that is due at once, again and again, for as long as the caller reads nothing. */
    @Test
    fun `next check of a stream that is not read lies ahead`() {
        progress.pause()
        expectThat(progress.nextCheck(start + 60.seconds)).isEqualTo(start + 62.seconds)
    }
}
