/*
 * The faults that are active in an engine. Every fault ends at a stored deadline or after a number of uses.
 */
package org.arbutusnotch.testing.engine

import com.linecorp.armeria.common.HttpStatus

/** Exit code of an engine that crashes on command. */
internal const val CRASH_EXIT_CODE = 70

/** Holds the active faults; used on the engine's thread only. */
internal class EngineFaults {
    private var slow: EngineFault.Slow? = null
    private var slowUntil = Long.MIN_VALUE
    private var delay: EngineFault.DelayAnswers? = null
    private var delayUntil = Long.MIN_VALUE
    private var load: EngineFault.WrongLoad? = null
    private var loadUntil = Long.MIN_VALUE
    private var refuse: EngineFault.Refuse? = null
    private var refuseUntil = Long.MIN_VALUE
    private var drop: EngineFault.DropStreams? = null
    private var dropsLeft = 0
    private var foreignTokensLeft = 0
    private var stall: EngineFault.StallTransfer? = null
    private var stallsLeft = 0
    private val crashes = mutableListOf<EngineFault.CrashOnPrompt>()

    fun apply(fault: EngineFault, nowNanos: Long) {
        when (fault) {
            is EngineFault.Slow -> {
                slow = fault
                slowUntil = nowNanos + fault.durationMillis.millisToNanos()
            }

            is EngineFault.DelayAnswers -> {
                delay = fault
                delayUntil = nowNanos + fault.durationMillis.millisToNanos()
            }

            is EngineFault.WrongLoad -> {
                load = fault
                loadUntil = nowNanos + fault.durationMillis.millisToNanos()
            }

            is EngineFault.Refuse -> {
                refuse = fault
                refuseUntil = nowNanos + fault.durationMillis.millisToNanos()
            }

            is EngineFault.DropStreams -> {
                drop = fault
                dropsLeft = fault.count
            }

            is EngineFault.StallTransfer -> {
                stall = fault
                stallsLeft = fault.count
            }

            is EngineFault.ForeignToken -> foreignTokensLeft = fault.count

            is EngineFault.CrashOnPrompt -> crashes += fault

            EngineFault.Crash -> Runtime.getRuntime().halt(CRASH_EXIT_CODE)

            EngineFault.Clear -> clear()
        }
    }

    /** Returns by which factor everything takes longer. */
    fun slowness(nowNanos: Long): Double = slow?.factor?.takeIf { nowNanos < slowUntil } ?: 1.0

    /** Returns when [slowness] changes by itself; null when it does not. */
    fun slownessChangesAt(nowNanos: Long): Long? = slowUntil.takeIf { slow != null && nowNanos < it }

    fun answerDelayNanos(nowNanos: Long): Long =
        delay?.delayMillis?.takeIf { nowNanos < delayUntil }?.millisToNanos() ?: 0

    fun wrongLoad(nowNanos: Long): EngineFault.WrongLoad? = load?.takeIf { nowNanos < loadUntil }

    fun refusal(nowNanos: Long): HttpStatus? =
        refuse?.takeIf { nowNanos < refuseUntil }?.let { HttpStatus.valueOf(it.status) }

    /** Returns the fault when the stream that sent [sentTokens] is to be broken now. */
    fun takeDrop(sentTokens: Int): EngineFault.DropStreams? = drop
        ?.takeIf { dropsLeft > 0 && sentTokens >= it.afterTokens }
        ?.also { dropsLeft-- }

    fun takeForeignToken(): Boolean = (foreignTokensLeft > 0).also { if (it) foreignTokensLeft-- }

    /** Returns for how long the next export is held. */
    fun takeStallNanos(): Long = stall
        ?.takeIf { stallsLeft > 0 }
        ?.also { stallsLeft-- }
        ?.durationMillis
        ?.millisToNanos() ?: 0

    fun crashFor(prompt: String): EngineFault.CrashOnPrompt? =
        crashes.firstOrNull { fault -> fault.marker?.let { it in prompt } == true }

    fun crashForDigest(digest: String): EngineFault.CrashOnPrompt? = crashes.firstOrNull { it.promptDigest == digest }

    private fun clear() {
        slow = null
        delay = null
        load = null
        refuse = null
        dropsLeft = 0
        foreignTokensLeft = 0
        stallsLeft = 0
        crashes.clear()
    }
}

private const val NANOS_PER_MILLI = 1_000_000L

/** Converts milliseconds to nanoseconds. */
internal fun Long.millisToNanos(): Long = this * NANOS_PER_MILLI
