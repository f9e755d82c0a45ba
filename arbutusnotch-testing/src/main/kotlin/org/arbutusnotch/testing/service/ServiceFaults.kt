/*
 * The faults that are active in a plain service.
 */
package org.arbutusnotch.testing.service

import com.linecorp.armeria.common.HttpStatus
import org.arbutusnotch.testing.engine.CRASH_EXIT_CODE
import org.arbutusnotch.testing.engine.millisToNanos

/** Holds the active faults; used on the service's thread only. */
internal class ServiceFaults {
    private var slow: ServiceFault.Slow? = null
    private var slowUntil = 0L
    private var refuse: ServiceFault.Refuse? = null
    private var refuseUntil = 0L
    private var crashBefore: ServiceFault.CrashBefore? = null
    private var crashAfter: ServiceFault.CrashAfter? = null
    private var dropsLeft = 0

    fun apply(fault: ServiceFault) {
        when (fault) {
            is ServiceFault.Slow -> {
                slow = fault
                slowUntil = System.nanoTime() + fault.durationMillis.millisToNanos()
            }

            is ServiceFault.Refuse -> {
                refuse = fault
                refuseUntil = System.nanoTime() + fault.durationMillis.millisToNanos()
            }

            is ServiceFault.CrashBefore -> crashBefore = fault

            is ServiceFault.CrashAfter -> crashAfter = fault

            is ServiceFault.DropAnswer -> dropsLeft = fault.count

            ServiceFault.Crash -> Runtime.getRuntime().halt(CRASH_EXIT_CODE)

            ServiceFault.Clear -> clear()
        }
    }

    fun slowness(): Double = slow?.factor?.takeIf { System.nanoTime() < slowUntil } ?: 1.0

    fun refusal(): HttpStatus? =
        refuse?.takeIf { System.nanoTime() < refuseUntil }?.let { HttpStatus.valueOf(it.status) }

    fun crashesBefore(operation: String): Boolean =
        crashBefore?.let { it.operation == null || it.operation == operation } == true

    fun crashesAfter(operation: String): Boolean =
        crashAfter?.let { it.operation == null || it.operation == operation } == true

    fun takeDrop(): Boolean = (dropsLeft > 0).also { if (it) dropsLeft-- }

    private fun clear() {
        slow = null
        refuse = null
        crashBefore = null
        crashAfter = null
        dropsLeft = 0
    }
}
