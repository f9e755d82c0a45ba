/*
 * The faults that are active in a plain service.
 */
package org.arbutusnotch.testing.service

import com.linecorp.armeria.common.HttpStatus
import org.arbutusnotch.testing.engine.CRASH_EXIT_CODE
import org.arbutusnotch.testing.engine.millisToNanos

/** Holds the active faults; must be used on the service's thread only. */
internal class ServiceFaults {
    private var slow: ServiceFault.Slow? = null
    private var slowUntilNanos = 0L
    private var refusal: ServiceFault.Refuse? = null
    private var refusalUntilNanos = 0L
    private var crashBefore: ServiceFault.CrashBefore? = null
    private var crashAfter: ServiceFault.CrashAfter? = null
    private var remainingAnswerDrops = 0

    fun apply(fault: ServiceFault) {
        when (fault) {
            is ServiceFault.Slow -> {
                slow = fault
                slowUntilNanos = System.nanoTime() + fault.durationMillis.millisToNanos()
            }

            is ServiceFault.Refuse -> {
                refusal = fault
                refusalUntilNanos = System.nanoTime() + fault.durationMillis.millisToNanos()
            }

            is ServiceFault.CrashBefore -> crashBefore = fault

            is ServiceFault.CrashAfter -> crashAfter = fault

            is ServiceFault.DropAnswer -> remainingAnswerDrops = fault.count

            ServiceFault.Crash -> Runtime.getRuntime().halt(CRASH_EXIT_CODE)

            ServiceFault.Clear -> clear()
        }
    }

    fun slowdownFactor(): Double = slow?.factor?.takeIf { System.nanoTime() < slowUntilNanos } ?: 1.0

    fun refusalStatus(): HttpStatus? =
        refusal?.takeIf { System.nanoTime() < refusalUntilNanos }?.let { HttpStatus.valueOf(it.status) }

    fun crashesBefore(operation: String): Boolean =
        crashBefore?.let { it.operation == null || it.operation == operation } == true

    fun crashesAfter(operation: String): Boolean =
        crashAfter?.let { it.operation == null || it.operation == operation } == true

    fun consumeAnswerDrop(): Boolean = (remainingAnswerDrops > 0).also { if (it) remainingAnswerDrops-- }

    private fun clear() {
        slow = null
        refusal = null
        crashBefore = null
        crashAfter = null
        remainingAnswerDrops = 0
    }
}
