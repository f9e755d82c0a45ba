/*
 * Messages of the service emulator's management calls.
 */
package org.arbutusnotch.testing.service

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Represents a fault to inject into a plain service; the body of `POST /emulator/faults`. */
@Serializable
public sealed interface ServiceFault {
    /** Multiplies the call duration by [factor] for [durationMillis]. */
    @Serializable
    @SerialName("slow")
    public data class Slow(public val factor: Double, public val durationMillis: Long) : ServiceFault

    /**
     * Halts the process at the end of a call of [operation] (any when null), before the call takes effect. Stays active
     * until [Clear].
     */
    @Serializable
    @SerialName("crash_before")
    public data class CrashBefore(public val operation: String? = null) : ServiceFault

    /**
     * Halts the process after a call of [operation] (any when null) takes effect, before it is answered. Stays active
     * until [Clear].
     */
    @Serializable
    @SerialName("crash_after")
    public data class CrashAfter(public val operation: String? = null) : ServiceFault

    /** Breaks the connection instead of answering the next [count] calls, which nevertheless take effect. */
    @Serializable
    @SerialName("drop_answer")
    public data class DropAnswer(public val count: Int = 1) : ServiceFault

    /** Refuses every call with [status], without taking effect, for [durationMillis]. */
    @Serializable
    @SerialName("refuse")
    public data class Refuse(public val durationMillis: Long, public val status: Int = 503) : ServiceFault

    /** Halts the process immediately. */
    @Serializable
    @SerialName("crash")
    public data object Crash : ServiceFault

    /** Ends all active faults. */
    @Serializable
    @SerialName("clear")
    public data object Clear : ServiceFault
}

/** Describes one execution, that is, a call that took effect at [epochMillis]. */
@Serializable
public data class Execution(
    public val operation: String,
    public val idempotencyKey: String?,
    public val attempt: String,
    public val requestDigest: String,
    public val epochMillis: Long,
)

/** Counts the executions of one operation with one idempotency key. */
@Serializable
public data class ExecutionCount(
    public val operation: String,
    public val idempotencyKey: String?,
    public val count: Int,
    public val epochMillis: List<Long>,
)

/** Answers `GET /emulator/executions`. */
@Serializable
public data class ExecutionReport(public val server: String, public val executions: List<ExecutionCount>)
