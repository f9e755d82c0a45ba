/*
 * The execution permits of one issuer.
 *
 * The issuer named in a token is the only instance that grants permits for it. A record is kept until the token expires
 * by the issuer's clock, and an expired token gets no permit, so a token that has had a permit is never mistaken for a
 * new one. The time of the table never moves backwards: otherwise a token whose record was removed could count as
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
 * Grants permits for tokens that name this instance as issuer and records how each permit ended.
 *
 * @param self address and incarnation of this process; tokens that name another issuer get no permit
 * @param capacity maximum number of records; new tokens are refused when it is reached
 * @param answerByteLimit size in bytes of the largest answer body that is recorded
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
    private var currentTime = Timestamp(Long.MIN_VALUE)
    private var lastPermitNumber = 0L
    private var highestExpiry: Timestamp? = null

    /** Number of tokens that have a record. */
    public val recordCount: Int
        get() = records.size

    /** Number of granted permits that are not closed and whose deadline has not passed. */
    public val outstandingPermitCount: Int
        get() = records.values.count { it.currentState(currentTime) is PermitState.Granted }

    /** Latest expiry of the tokens that have a record; null when there is none. */
    public val latestExpiry: Timestamp?
        get() = highestExpiry.takeIf { records.isNotEmpty() }

    /** Decides on [request]. A duplicate request of the same attempt gets the permit that the attempt already has. */
    public fun request(request: PermitRequest, now: Timestamp): PermitReply {
        tick(now)
        val token = IdempotencyToken.parse(request.key.token)
            .getOrElse { return PermitReply.Denied(PermitDenial.MALFORMED) }
        val expiry = token.prefix.expiry
        if (token.prefix.issuer != self) return PermitReply.Denied(PermitDenial.OTHER_ISSUER)
        if (expiry <= currentTime) return PermitReply.Denied(PermitDenial.EXPIRED)
        if (expiry > currentTime + maximumTokenLifetime) return PermitReply.Denied(PermitDenial.LIFETIME_TOO_LONG)
        val record = records[request.key]
        return if (record == null) requestForNewToken(request, expiry) else requestForKnownToken(record, request)
    }

    /** Records how a permit ended; a [close] of any permit but the token's latest one is ignored. */
    public fun close(close: PermitClose, now: Timestamp) {
        tick(now)
        val record = records[close.key] ?: return
        if (record.permit != close.permit) return
        record.state = stateAfterClose(record.state, close.result)
    }

    /** Ends permits whose deadline has passed and removes records whose token has expired. */
    public fun tick(now: Timestamp) {
        currentTime = maxOf(currentTime, now)
        while (expiries.isNotEmpty() && expiries.peek().expiry <= currentTime) {
            records.remove(expiries.poll().key)
        }
    }

    private fun requestForNewToken(request: PermitRequest, expiry: Timestamp): PermitReply {
        if (request.permitDeadline <= currentTime) return PermitReply.Denied(PermitDenial.DEADLINE_PASSED)
        if (records.size >= capacity) return PermitReply.Denied(PermitDenial.TABLE_FULL)
        val record = PermitRecord(request.requestDigest, expiry)
        records[request.key] = record
        expiries.add(RecordExpiry(expiry, request.key))
        highestExpiry = highestExpiry?.let { maxOf(it, expiry) } ?: expiry
        return grant(record, request)
    }

    private fun requestForKnownToken(record: PermitRecord, request: PermitRequest): PermitReply {
        if (record.requestDigest != request.requestDigest) return PermitReply.Denied(PermitDenial.REQUEST_DIFFERS)
        return when (val state = record.currentState(currentTime)) {
            is PermitState.Grantable -> grantAgain(record, request)
            is PermitState.Granted -> repeatGrant(record, state, request)
            is PermitState.Answered -> PermitReply.Answered(state.answer)
            is PermitState.AnswerNotRetained -> PermitReply.Denied(PermitDenial.ANSWER_NOT_RETAINED)
            is PermitState.DeadlinePassed, PermitState.Unknown -> PermitReply.Denied(PermitDenial.OUTCOME_UNKNOWN)
        }
    }

    private fun grantAgain(record: PermitRecord, request: PermitRequest): PermitReply =
        if (request.permitDeadline <= currentTime) {
            PermitReply.Denied(PermitDenial.DEADLINE_PASSED)
        } else {
            grant(record, request)
        }

    private fun repeatGrant(record: PermitRecord, state: PermitState.Granted, request: PermitRequest): PermitReply =
        if (state.holder == request.holder && state.attempt == request.attempt) {
            PermitReply.Granted(record.permit, state.deadline)
        } else {
            PermitReply.Running(state.deadline)
        }

    private fun grant(record: PermitRecord, request: PermitRequest): PermitReply {
        val deadline = minOf(request.permitDeadline, record.expiry)
        lastPermitNumber += 1
        record.permit = lastPermitNumber
        record.state = PermitState.Granted(request.holder, request.attempt, deadline)
        return PermitReply.Granted(lastPermitNumber, deadline)
    }

    private fun stateAfterClose(state: PermitState, result: PermitResult): PermitState = when (state) {
        is PermitState.Granted, PermitState.DeadlinePassed -> when (result) {
            is PermitResult.HandedBack -> PermitState.Grantable
            is PermitResult.Answered -> stateForAnswer(result.answer)
            is PermitResult.Unknown -> PermitState.Unknown
        }

        is PermitState.Unknown -> if (result is PermitResult.Answered) stateForAnswer(result.answer) else state

        is PermitState.Grantable, is PermitState.Answered, PermitState.AnswerNotRetained -> state
    }

    private fun stateForAnswer(answer: RecordedAnswer): PermitState =
        if (answer.body.size <= answerByteLimit) PermitState.Answered(answer) else PermitState.AnswerNotRetained
}

private class RecordExpiry(val expiry: Timestamp, val key: TokenKey)

private class PermitRecord(val requestDigest: ContentDigest, val expiry: Timestamp) {
    var permit: Long = 0
    var state: PermitState = PermitState.Grantable

    /** Updates the state to [now] and returns it; the deadline of a granted permit may have passed. */
    fun currentState(now: Timestamp): PermitState {
        val granted = state as? PermitState.Granted
        if (granted != null && granted.deadline <= now) state = PermitState.DeadlinePassed
        return state
    }
}

private sealed interface PermitState {
    /** No permit is outstanding and none was used, so that one may be granted. */
    data object Grantable : PermitState

    data class Granted(val holder: InstanceId, val attempt: AttemptId, val deadline: Timestamp) : PermitState

    class Answered(val answer: RecordedAnswer) : PermitState

    data object AnswerNotRetained : PermitState

    /** The deadline passed without a report. A late report is still accepted, because no other permit exists. */
    data object DeadlinePassed : PermitState

    /** The holder reported that the request may have run. */
    data object Unknown : PermitState
}
