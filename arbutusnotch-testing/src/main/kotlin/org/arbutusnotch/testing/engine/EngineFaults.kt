/*
 * The faults that are active in an engine. A fault ends at a stored deadline, after a number of uses or when it is
 * cleared.
 */
package org.arbutusnotch.testing.engine

import com.linecorp.armeria.common.HttpStatus

/** Exit code of an emulator process that is crashed by an injected fault. */
internal const val CRASH_EXIT_CODE = 70

/** Holds the active faults; must be used on the engine's thread only. */
internal class EngineFaults {
    private var slow: EngineFault.Slow? = null
    private var slowUntilNanos = Long.MIN_VALUE
    private var answerDelay: EngineFault.DelayAnswers? = null
    private var answerDelayUntilNanos = Long.MIN_VALUE
    private var wrongLoad: EngineFault.WrongLoad? = null
    private var wrongLoadUntilNanos = Long.MIN_VALUE
    private var refusal: EngineFault.Refuse? = null
    private var refusalUntilNanos = Long.MIN_VALUE
    private var streamDrop: EngineFault.DropStreams? = null
    private var remainingStreamDrops = 0
    private var remainingForeignTokens = 0
    private var transferStall: EngineFault.StallTransfer? = null
    private var remainingTransferStalls = 0
    private val promptCrashes = mutableListOf<EngineFault.CrashOnPrompt>()

    fun apply(fault: EngineFault, nowNanos: Long) {
        when (fault) {
            is EngineFault.Slow -> {
                slow = fault
                slowUntilNanos = nowNanos + fault.durationMillis.millisToNanos()
            }

            is EngineFault.DelayAnswers -> {
                answerDelay = fault
                answerDelayUntilNanos = nowNanos + fault.durationMillis.millisToNanos()
            }

            is EngineFault.WrongLoad -> {
                wrongLoad = fault
                wrongLoadUntilNanos = nowNanos + fault.durationMillis.millisToNanos()
            }

            is EngineFault.Refuse -> {
                refusal = fault
                refusalUntilNanos = nowNanos + fault.durationMillis.millisToNanos()
            }

            is EngineFault.DropStreams -> {
                streamDrop = fault
                remainingStreamDrops = fault.count
            }

            is EngineFault.StallTransfer -> {
                transferStall = fault
                remainingTransferStalls = fault.count
            }

            is EngineFault.ForeignToken -> remainingForeignTokens = fault.count

            is EngineFault.CrashOnPrompt -> promptCrashes += fault

            EngineFault.Crash -> Runtime.getRuntime().halt(CRASH_EXIT_CODE)

            EngineFault.Clear -> clear()
        }
    }

    /** Returns the factor by which the time of steps, prefills and transfers is multiplied. */
    fun slowdownFactor(nowNanos: Long): Double = slow?.factor?.takeIf { nowNanos < slowUntilNanos } ?: 1.0

    /** Returns when the current slowdown ends; null without one. */
    fun slowdownEndNanos(nowNanos: Long): Long? = slowUntilNanos.takeIf { slow != null && nowNanos < it }

    fun answerDelayNanos(nowNanos: Long): Long =
        answerDelay?.delayMillis?.takeIf { nowNanos < answerDelayUntilNanos }?.millisToNanos() ?: 0

    fun wrongLoad(nowNanos: Long): EngineFault.WrongLoad? = wrongLoad?.takeIf { nowNanos < wrongLoadUntilNanos }

    fun refusalStatus(nowNanos: Long): HttpStatus? =
        refusal?.takeIf { nowNanos < refusalUntilNanos }?.let { HttpStatus.valueOf(it.status) }

    /** Consumes a use of the fault if it applies to a stream that has sent [sentTokenCount] tokens; null otherwise. */
    fun consumeStreamDrop(sentTokenCount: Int): EngineFault.DropStreams? = streamDrop
        ?.takeIf { remainingStreamDrops > 0 && sentTokenCount >= it.afterTokens }
        ?.also { remainingStreamDrops-- }

    fun consumeForeignToken(): Boolean = (remainingForeignTokens > 0).also { if (it) remainingForeignTokens-- }

    /** Consumes a use of the fault and returns the delay of the next export; 0 without a fault. */
    fun consumeTransferStallNanos(): Long = transferStall
        ?.takeIf { remainingTransferStalls > 0 }
        ?.also { remainingTransferStalls-- }
        ?.durationMillis
        ?.millisToNanos() ?: 0

    fun crashForPrompt(prompt: String): EngineFault.CrashOnPrompt? =
        promptCrashes.firstOrNull { fault -> fault.marker?.let { it in prompt } == true }

    fun crashForDigest(digest: String): EngineFault.CrashOnPrompt? =
        promptCrashes.firstOrNull { it.promptDigest == digest }

    private fun clear() {
        slow = null
        answerDelay = null
        wrongLoad = null
        refusal = null
        remainingStreamDrops = 0
        remainingForeignTokens = 0
        remainingTransferStalls = 0
        promptCrashes.clear()
    }
}

private const val NANOS_PER_MILLI = 1_000_000L

/** Converts milliseconds to nanoseconds. */
internal fun Long.millisToNanos(): Long = this * NANOS_PER_MILLI
