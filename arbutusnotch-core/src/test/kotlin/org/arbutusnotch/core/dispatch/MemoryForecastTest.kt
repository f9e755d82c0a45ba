/*
 * The memory that runs of different ages will need.
 */
package org.arbutusnotch.core.dispatch

import org.arbutusnotch.core.time.Timestamp
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

class MemoryForecastTest {
    private val now = Timestamp(1_000_000)
    private val perOutput = 1.milliseconds

    private fun run(prompt: Int, output: Int, begunBefore: Duration) = MemoryUse(prompt, output, now - begunBefore)

    private fun peak(vararg runs: MemoryUse) = MemoryForecast.peak(runs.toList(), perOutput, now)

    @Test
    fun `single run needs its prompt and its output`() {
        expectThat(peak(run(100, 50, 0.milliseconds))).isEqualTo(150.0)
        expectThat(peak(run(100, 50, 40.milliseconds))).isEqualTo(150.0)
    }

    /** Guards against a server that holds fewer runs than it could, because each is counted with its largest size. */
    @Test
    fun `runs of different ages do not need their largest memory together`() {
        val older = run(100, 100, begunBefore = 90.milliseconds)
        val newer = run(100, 100, begunBefore = 10.milliseconds)
        // The older run ends after 10 ms with 200 tokens; the newer one has 120 then and 200 at its own end.
        expectThat(peak(older, newer)).isEqualTo(320.0)
    }

    /** Guards against memory that is given out because a run is expected to have ended. */
    @Test
    fun `run that lasts longer than expected counts with what it has grown to`() {
        val overdue = run(100, 50, begunBefore = 80.milliseconds)
        expectThat(peak(overdue)).isEqualTo(180.0)
    }

    @Test
    fun `run whose prompt is being read grows from its first token on`() {
        val reading = MemoryUse(100, 50, now + 20.milliseconds)
        val running = run(100, 30, begunBefore = 0.milliseconds)
        // At the end of the running one, after 30 ms, the other has generated for 10 ms.
        expectThat(peak(reading, running)).isEqualTo(240.0)
    }
}
