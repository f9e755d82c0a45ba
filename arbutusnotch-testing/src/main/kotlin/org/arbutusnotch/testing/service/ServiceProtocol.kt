/*
 * The messages of the service emulator's management calls.
 */
package org.arbutusnotch.testing.service

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Names a fault of a plain service; see `POST /emulator/faults`. */
@Serializable
public sealed interface ServiceFault {
    /** Multiplies the call time by [factor] for [durationMillis]. */
    @Serializable
    @SerialName("slow")
    public data class Slow(public val factor: Double, public val durationMillis: Long) : ServiceFault

    /** Ends the process when the next [operation] (any when null) has spent its call time and not taken effect. */
    @Serializable
    @SerialName("crash_before")
    public data class CrashBefore(public val operation: String? = null) : ServiceFault

    /** Ends the process when the next [operation] (any when null) has taken effect and not been answered. */
    @Serializable
    @SerialName("crash_after")
    public data class CrashAfter(public val operation: String? = null) : ServiceFault

    /** Breaks the connection instead of answering the next [count] calls, which do take effect. */
    @Serializable
    @SerialName("drop_answer")
    public data class DropAnswer(public val count: Int = 1) : ServiceFault

    /** Answers every call with [status], without effect, for [durationMillis]. */
    @Serializable
    @SerialName("refuse")
    public data class Refuse(public val durationMillis: Long, public val status: Int = 503) : ServiceFault

    /** Ends the process at once. */
    @Serializable
    @SerialName("crash")
    public data object Crash : ServiceFault

    /** Ends every fault. */
    @Serializable
    @SerialName("clear")
    public data object Clear : ServiceFault
}

/** Describes one execution: the moment at which a call took effect. */
@Serializable
public data class Execution(
    public val operation: String,
    public val idempotencyKey: String?,
    public val attempt: String,
    public val requestDigest: String,
    public val epochMillis: Long,
)

/** Counts the executions of an operation with an idempotency key. */
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
