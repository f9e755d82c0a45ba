/*
 * The execution permits of one issuer.
 *
 * The issuer named in a token is the only instance that grants permits for it. A record is kept until the token's
 * expiry by the issuer's clock, and an expired token gets no permit, so a token that was permitted once is never taken
 * for a new one. The clock of the table never moves backwards: otherwise a removed record's token could count as
 * unexpired again.
 */
package org.arbutusnotch.core.permit

import com.github.michaelbull.result.getOrElse
import org.arbutusnotch.core.id.AttemptId
import org.arbutusnotch.core.id.ContentDigest
import org.arbutusnotch.core.id.InstanceId
import org.arbutusnotch.core.message.PermitClose
import org.arbutusnotch.core.message.PermitDenial
import org.arbutusnotch.core.message.PermitReply
import org.arbutusnotch.core.message.PermitRequest
import org.arbutusnotch.core.message.PermitResult
import org.arbutusnotch.core.message.RecordedAnswer
import org.arbutusnotch.core.message.TokenKey
import org.arbutusnotch.core.time.Timestamp
import org.arbutusnotch.core.token.IdempotencyToken
import java.util.PriorityQueue
import kotlin.time.Duration

/**
 * Grants the permits for tokens that name this instance and records how they ended.
 *
 * @param self address and incarnation of this process; tokens of any other get no permit
 * @param capacity number of records, above which new tokens are refused
 * @param answerByteLimit largest recorded answer body
 * @param maximumTokenLifetime longest accepted time until a token's expiry
 */
public class PermitTable(
    private val self: InstanceId,
    private val capacity: Int,
    private val answerByteLimit: Int,
    private val maximumTokenLifetime: Duration,
) {
    private val records = HashMap<TokenKey, PermitRecord>()
    private val expiries = PriorityQueue<RecordExpiry>(compareBy { it.expiry })
    private var clock = Timestamp(Long.MIN_VALUE)
    private var lastPermit = 0L
    private var lastExpiry: Timestamp? = null

    /** Number of tokens that have a record. */
    public val recordCount: Int
        get() = records.size

    /** Number of permits that a holder has and whose deadline has not passed. */
    public val runningCount: Int
        get() = records.values.count { it.currentState(clock) is PermitState.Permitted }

    /** Latest expiry of the tokens that have a record; null when there is none. */
    public val latestExpiry: Timestamp?
        get() = lastExpiry.takeIf { records.isNotEmpty() }

    /** Decides on [request]. A repeated request of the same attempt gets the permit that the attempt already has. */
    public fun request(request: PermitRequest, now: Timestamp): PermitReply {
        tick(now)
        val token = IdempotencyToken.parse(request.key.token)
            .getOrElse { return PermitReply.Denied(PermitDenial.MALFORMED) }
        val expiry = token.prefix.expiry
        if (token.prefix.issuer != self) return PermitReply.Denied(PermitDenial.OTHER_ISSUER)
        if (expiry <= clock) return PermitReply.Denied(PermitDenial.EXPIRED)
        if (expiry > clock + maximumTokenLifetime) return PermitReply.Denied(PermitDenial.LIFETIME_TOO_LONG)
        val record = records[request.key]
        return if (record == null) requestNew(request, expiry) else requestKnown(record, request)
    }

    /** Records how a permit ended; a [close] of any permit but the token's last one changes nothing. */
    public fun close(close: PermitClose, now: Timestamp) {
        tick(now)
        val record = records[close.key] ?: return
        if (record.permit != close.permit) return
        record.state = stateAfter(record.state, close.result)
    }

    /** Ends permits whose deadline has passed and removes records whose token has expired. */
    public fun tick(now: Timestamp) {
        clock = maxOf(clock, now)
        while (expiries.isNotEmpty() && expiries.peek().expiry <= clock) {
            records.remove(expiries.poll().key)
        }
    }

    private fun requestNew(request: PermitRequest, expiry: Timestamp): PermitReply {
        if (request.permitDeadline <= clock) return PermitReply.Denied(PermitDenial.DEADLINE_PASSED)
        if (records.size >= capacity) return PermitReply.Denied(PermitDenial.TABLE_FULL)
        val record = PermitRecord(request.requestDigest, expiry)
        records[request.key] = record
        expiries.add(RecordExpiry(expiry, request.key))
        lastExpiry = lastExpiry?.let { maxOf(it, expiry) } ?: expiry
        return grant(record, request)
    }

    private fun requestKnown(record: PermitRecord, request: PermitRequest): PermitReply {
        if (record.requestDigest != request.requestDigest) return PermitReply.Denied(PermitDenial.REQUEST_DIFFERS)
        return when (val state = record.currentState(clock)) {
            is PermitState.Unused -> grantAgain(record, request)
            is PermitState.Permitted -> repeatOrWait(record, state, request)
            is PermitState.Answered -> PermitReply.Answered(state.answer)
            is PermitState.AnswerNotRetained -> PermitReply.Denied(PermitDenial.ANSWER_NOT_RETAINED)
            is PermitState.Overdue, PermitState.Unknown -> PermitReply.Denied(PermitDenial.OUTCOME_UNKNOWN)
        }
    }

    private fun grantAgain(record: PermitRecord, request: PermitRequest): PermitReply =
        if (request.permitDeadline <= clock) {
            PermitReply.Denied(PermitDenial.DEADLINE_PASSED)
        } else {
            grant(record, request)
        }

    private fun repeatOrWait(record: PermitRecord, state: PermitState.Permitted, request: PermitRequest): PermitReply =
        if (state.holder == request.holder && state.attempt == request.attempt) {
            PermitReply.Granted(record.permit, state.deadline)
        } else {
            PermitReply.Running(state.deadline)
        }

    private fun grant(record: PermitRecord, request: PermitRequest): PermitReply {
        val deadline = minOf(request.permitDeadline, record.expiry)
        lastPermit += 1
        record.permit = lastPermit
        record.state = PermitState.Permitted(request.holder, request.attempt, deadline)
        return PermitReply.Granted(lastPermit, deadline)
    }

    private fun stateAfter(state: PermitState, result: PermitResult): PermitState = when (state) {
        is PermitState.Permitted, PermitState.Overdue -> when (result) {
            is PermitResult.HandedBack -> PermitState.Unused
            is PermitResult.Answered -> retained(result.answer)
            is PermitResult.Unknown -> PermitState.Unknown
        }

        is PermitState.Unknown -> if (result is PermitResult.Answered) retained(result.answer) else state

        is PermitState.Unused, is PermitState.Answered, PermitState.AnswerNotRetained -> state
    }

    private fun retained(answer: RecordedAnswer): PermitState =
        if (answer.body.size <= answerByteLimit) PermitState.Answered(answer) else PermitState.AnswerNotRetained
}

private class RecordExpiry(val expiry: Timestamp, val key: TokenKey)

private class PermitRecord(val requestDigest: ContentDigest, val expiry: Timestamp) {
    var permit: Long = 0
    var state: PermitState = PermitState.Unused

    /** Returns the state at [now]: a permit past its deadline is overdue. */
    fun currentState(now: Timestamp): PermitState {
        val permitted = state as? PermitState.Permitted
        if (permitted != null && permitted.deadline <= now) state = PermitState.Overdue
        return state
    }
}

private sealed interface PermitState {
    /** The last permit was returned and nothing was written. */
    data object Unused : PermitState

    data class Permitted(val holder: InstanceId, val attempt: AttemptId, val deadline: Timestamp) : PermitState

    class Answered(val answer: RecordedAnswer) : PermitState

    data object AnswerNotRetained : PermitState

    /** The deadline passed without a report. The holder's late report still counts, because no other permit exists. */
    data object Overdue : PermitState

    /** The holder reported that the request may have run. */
    data object Unknown : PermitState
}
