/*
 * Tests the detection of stalled streams.
 */
package org.arbutusnotch.core.forwarding

import org.arbutusnotch.core.time.Timestamp
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class StreamProgressTest {
    private val start = Timestamp(1_000_000)
    private val progress = StreamProgress(stallTimeout = 2.seconds, startedAt = start)

    @Test
    fun `stream stalls after the timeout without an event`() {
        progress.recordEvent(start + 500.milliseconds)
        expectThat(progress.isStalled(start + 2_499.milliseconds)).isFalse()
        expectThat(progress.isStalled(start + 2_500.milliseconds)).isTrue()
        expectThat(progress.nextCheckAt(start + 600.milliseconds)).isEqualTo(start + 2_500.milliseconds)
    }

    /** Guards against counting a stream as stalled because its caller reads slowly. */
    @Test
    fun `stream that is not read does not stall`() {
        progress.pause()
        expectThat(progress.isStalled(start + 60.seconds)).isFalse()
        progress.resume(start + 60.seconds)
        expectThat(progress.isStalled(start + 61.seconds)).isFalse()
        expectThat(progress.isStalled(start + 62.seconds)).isTrue()
    }

    /** Guards against a busy loop of checks that are due at once for as long as the caller reads nothing. */
    @Test
    fun `next check of a stream that is not read is in the future`() {
        progress.pause()
        expectThat(progress.nextCheckAt(start + 60.seconds)).isEqualTo(start + 62.seconds)
    }

    /** Guards against counting the first bytes after a pause as bytes that never become an event. */
    @Test
    fun `bytes without an event count from the first of them`() {
        progress.recordEvent(start)
        expectThat(progress.timeOfBytesWithoutEvent(start + 60.seconds)).isEqualTo(Duration.ZERO)
        progress.recordBytes(start + 60.seconds)
        progress.recordBytes(start + 61.seconds)
        expectThat(progress.timeOfBytesWithoutEvent(start + 62.seconds)).isEqualTo(2.seconds)
        progress.recordEvent(start + 62.seconds)
        expectThat(progress.timeOfBytesWithoutEvent(start + 63.seconds)).isEqualTo(Duration.ZERO)
    }
}
