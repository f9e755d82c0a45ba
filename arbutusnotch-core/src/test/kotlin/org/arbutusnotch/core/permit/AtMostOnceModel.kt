/*
 * Drives the permit tables and attempts of several instances through a sequence of failures, and checks them against a
 * record of every write, every run and every outcome.
 *
 * The clocks of the instances differ and are adjusted in steps. A message stays in the network until it is delivered or
 * lost, so messages arrive in any order. A call to a backend server runs when it is delivered, even if its sender has
 * ended in the meantime.
 */
package org.arbutusnotch.core.permit

import com.github.michaelbull.result.get
import org.arbutusnotch.core.fuzz.Choice
import org.arbutusnotch.core.id.AttemptId
import org.arbutusnotch.core.id.ClientId
import org.arbutusnotch.core.id.ContentDigest
import org.arbutusnotch.core.id.Incarnation
import org.arbutusnotch.core.id.InstanceAddress
import org.arbutusnotch.core.id.InstanceId
import org.arbutusnotch.core.id.WorkspaceId
import org.arbutusnotch.core.message.PeerMessage
import org.arbutusnotch.core.message.PermitClose
import org.arbutusnotch.core.message.PermitReply
import org.arbutusnotch.core.message.PermitRequest
import org.arbutusnotch.core.message.RecordedAnswer
import org.arbutusnotch.core.message.TokenKey
import org.arbutusnotch.core.outcome.RefusalReason
import org.arbutusnotch.core.outcome.RequestOutcome
import org.arbutusnotch.core.time.Timestamp
import org.arbutusnotch.core.token.IdempotencyToken
import org.arbutusnotch.core.token.IssuerPrefix
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

internal class AtMostOnceModel {
    val oracle = AtMostOnceOracle()
    private val network = mutableListOf<Packet>()
    private val backendCalls = mutableListOf<BackendCall>()
    private val tokens = mutableListOf<TokenKey>()
    private val partitions = mutableSetOf<Set<InstanceAddress>>()
    private val instances = List(INSTANCES) { ModelInstance(InstanceAddress("10.0.0.${it + 1}:7000"), it + 1L) }
    private var time = START_MILLIS
    private var incarnations = INSTANCES.toLong()
    private var attemptNumber = 0L

    fun issueToken(choice: Choice) {
        if (tokens.size >= MAXIMUM_TOKENS) return
        val lifetime = choice.of(LIFETIMES_MILLIS)
        val issuer = choice.of(instances)
        val prefix = IssuerPrefix(issuer.id, Timestamp(time) + lifetime.milliseconds, "r${tokens.size}")
        val token = IdempotencyToken(prefix, "key").format()
        tokens += TokenKey(ClientId("client"), WorkspaceId("first"), token)
        if (choice.chance(oneIn = 4)) tokens += TokenKey(ClientId("client"), WorkspaceId("second"), token)
    }

    /** Sends a caller's request to an entry; most requests reuse a token, because callers retry. */
    fun startAttempt(choice: Choice) {
        if (tokens.isEmpty()) issueToken(choice)
        val key = choice.of(tokens)
        val entry = choice.of(instances.filterNot { it.paused }.ifEmpty { return })
        val digest = ContentDigest(if (choice.chance(oneIn = 8)) "other" else "original")
        attemptNumber += 1
        val id = AttemptId("${entry.id}/$attemptNumber")
        val deadline = entry.now(time) + choice.of(PERMIT_DURATIONS_MILLIS).milliseconds
        val attempt = PermitAttempt(PermitRequest(key, digest, entry.id, id, deadline))
        entry.attempts[id] = attempt
        sendRequest(entry, attempt)
    }

    fun deliverMessage(choice: Choice) {
        val packet = choice.of(deliverable().ifEmpty { return })
        if (!choice.chance(oneIn = 6)) network.remove(packet)
        val receiver = instances.first { it.address == packet.receiver }
        when (val message = packet.message) {
            is PermitRequest -> {
                val reply = receiver.request(message, time)
                val writes = oracle.writesOf(message.key)
                send(receiver, message.holder.address, reply, message.attempt, writes)
            }

            is PermitClose -> receiver.table.close(message, receiver.now(time))

            is PermitReply -> receiver.attempts[packet.attempt]?.let { attempt ->
                apply(receiver, attempt, attempt.onReply(message), packet.writesAtDecision)
            }

            else -> error("unexpected message $message")
        }
    }

    fun loseMessage(choice: Choice) {
        if (network.isNotEmpty()) network.remove(choice.of(network))
    }

    /** Resends the permit request of an attempt that waits for another holder or for a reply that may be lost. */
    fun resendPermitRequest(choice: Choice) {
        val (entry, attempt) = attempt(choice) { !it.ended } ?: return
        sendRequest(entry, attempt)
    }

    fun timeOutIssuer(choice: Choice) {
        val (entry, attempt) = anyAttempt(choice) ?: return
        apply(entry, attempt, attempt.onIssuerUnreachable())
    }

    /** Lets a holder write to a backend server; the connection may fail before the call arrives there. */
    fun write(choice: Choice) {
        val (entry, attempt) = attempt(choice) { it.holdsPermit } ?: return
        val actions = attempt.beginWrite(entry.now(time), entry.lastTick, TICK_GAP_LIMIT)
        if (actions != null) {
            apply(entry, attempt, actions)
            return
        }
        check(!entry.hasMissedTicks()) { "attempt ${attempt.request.attempt} wrote after a pause" }
        oracle.recordWrite(attempt.request, entry.now(time))
        backendCalls += BackendCall(entry.address, attempt.request)
    }

    fun runOnBackend(choice: Choice) {
        val call = choice.of(backendCalls.filterNot { it.ran }.ifEmpty { return })
        call.ran = true
        call.answer = oracle.recordRun(call.request, choice.of(ANSWER_SIZES_BYTES))
    }

    fun deliverAnswer(choice: Choice) {
        val call = choice.of(backendCalls.filter { it.answer != null }.ifEmpty { return })
        val entry = instances.first { it.address == call.entry }
        if (entry.paused) return
        backendCalls.remove(call)
        val attempt = entry.attempts[call.request.attempt] ?: return
        apply(entry, attempt, attempt.onAnswer(checkNotNull(call.answer)))
    }

    /** Lets an entry fail an attempt, before or after its write, or again after the attempt has ended. */
    fun failAttempt(choice: Choice) {
        val (entry, attempt) = anyAttempt(choice) ?: return
        apply(entry, attempt, attempt.fail(choice.of(FAILURE_REASONS)))
    }

    fun advanceTime(choice: Choice) {
        val stepMillis = choice.of(TIME_STEPS_MILLIS)
        time += stepMillis
        instances.forEach { it.advanceTime(time, stepMillis) }
    }

    fun adjustClock(choice: Choice) {
        choice.of(instances).adjustClock(choice.of(CLOCK_OFFSETS_MILLIS))
    }

    fun pauseOrResume(choice: Choice) {
        val instance = choice.of(instances)
        instance.paused = !instance.paused
    }

    fun restart(choice: Choice) {
        incarnations += 1
        choice.of(instances).restart(incarnations)
    }

    fun partitionOrHeal(choice: Choice) {
        if (choice.chance(oneIn = 2)) {
            partitions.clear()
        } else {
            partitions += setOf(choice.of(instances).address, choice.of(instances).address)
        }
    }

    /** Delivers the remaining messages and calls, so that delayed effects are checked as well. */
    fun settle() {
        partitions.clear()
        instances.forEach { it.paused = false }
        repeat(SETTLING_ROUNDS) {
            deliverMessage(Choice(0))
            runOnBackend(Choice(0))
            deliverAnswer(Choice(0))
        }
        oracle.checkNotRunAttempts()
    }

    private fun anyAttempt(choice: Choice): Pair<ModelInstance, PermitAttempt>? {
        val includeEnded = choice.chance(oneIn = 4)
        return attempt(choice) { includeEnded || !it.ended }
    }

    private fun attempt(choice: Choice, condition: (PermitAttempt) -> Boolean): Pair<ModelInstance, PermitAttempt>? {
        val matching = instances
            .filterNot { it.paused }
            .flatMap { entry -> entry.attempts.values.filter(condition).map { entry to it } }
        return if (matching.isEmpty()) null else choice.of(matching)
    }

    private fun deliverable(): List<Packet> = network.filter { packet ->
        setOf(packet.sender, packet.receiver) !in partitions &&
            instances.none { it.address == packet.receiver && it.paused }
    }

    private fun sendRequest(entry: ModelInstance, attempt: PermitAttempt) {
        send(entry, issuerOf(attempt), attempt.request, attempt.request.attempt)
    }

    private fun issuerOf(attempt: PermitAttempt): InstanceAddress =
        checkNotNull(IdempotencyToken.parse(attempt.request.key.token).get()).prefix.issuer.address

    private fun send(
        sender: ModelInstance,
        receiver: InstanceAddress,
        message: PeerMessage,
        attempt: AttemptId,
        writesAtDecision: Int = 0,
    ) {
        network += Packet(sender.address, receiver, message, attempt, writesAtDecision)
    }

    private fun apply(
        entry: ModelInstance,
        attempt: PermitAttempt,
        actions: PermitActions,
        writesAtDecision: Int? = null,
    ) {
        actions.close?.let { send(entry, issuerOf(attempt), it, attempt.request.attempt) }
        when (val decision = actions.decision) {
            is PermitDecision.SendAnswer -> oracle.recordAnswer(attempt.request, decision.answer)

            is PermitDecision.Refuse -> {
                val writes = writesAtDecision ?: oracle.writesOf(attempt.request.key)
                oracle.recordOutcome(attempt.request, decision.outcome, writes)
            }

            is PermitDecision.Run -> oracle.recordPermit(attempt.request, decision.deadline)

            is PermitDecision.AwaitRunning, null -> Unit
        }
    }

    private companion object {
        const val INSTANCES = 3
        const val START_MILLIS = 1_000_000L
        const val MAXIMUM_TOKENS = 4
        const val SETTLING_ROUNDS = 60
        val LIFETIMES_MILLIS = listOf(20_000L, 20_000L, 20_000L, 20_000L, 8_000L, 8_000L, 2_000L, 40_000L, -1_000L)
        val PERMIT_DURATIONS_MILLIS = listOf(3_000L, 3_000L, 10_000L, 10_000L, 1_000L, -500L)
        val TIME_STEPS_MILLIS = listOf(20L, 20L, 500L, 500L, 2_500L, 9_000L)
        val CLOCK_OFFSETS_MILLIS = listOf(0L, 0L, 0L, 700L, -300L, 300L, -15_000L, 12_000L)
        val ANSWER_SIZES_BYTES = listOf(4, 4, 100)
        val FAILURE_REASONS = listOf(RefusalReason.NO_BACKEND_SERVER, RefusalReason.BACKEND_FAILED)
    }
}

private val TICK_GAP_LIMIT = 200.milliseconds

private class Packet(
    val sender: InstanceAddress,
    val receiver: InstanceAddress,
    val message: PeerMessage,
    val attempt: AttemptId,
    val writesAtDecision: Int,
)

private class BackendCall(val entry: InstanceAddress, val request: PermitRequest) {
    var ran = false
    var answer: RecordedAnswer? = null
}

private class ModelInstance(val address: InstanceAddress, incarnation: Long) {
    var id = InstanceId(address, Incarnation(incarnation))
    var table = newTable()
    private var clockOffset = 0L
    private var latestTime = Timestamp(0)
    var paused = false
    var lastTick = Timestamp(0)

    private var missedMillis = 0L
    private var clockAdjusted = false
    val attempts = LinkedHashMap<AttemptId, PermitAttempt>()

    fun now(time: Long): Timestamp = Timestamp(time + clockOffset)

    /** Whether the process has missed ticks and can detect it, because its clock was not adjusted. */
    fun hasMissedTicks(): Boolean = missedMillis > TICK_GAP_LIMIT.inWholeMilliseconds && !clockAdjusted

    fun adjustClock(offset: Long) {
        clockOffset = offset
        clockAdjusted = true
    }

    /** Ticks unless the process is paused. One step of time stands for many ticks; a running process misses none. */
    fun advanceTime(time: Long, stepMillis: Long) {
        missedMillis += stepMillis
        if (paused) return
        missedMillis = 0
        clockAdjusted = false
        lastTick = now(time)
        table.tick(lastTick)
        latestTime = maxOf(latestTime, lastTick)
    }

    fun request(request: PermitRequest, time: Long): PermitReply {
        val reply = table.request(request, now(time))
        latestTime = maxOf(latestTime, now(time))
        val expiry = IdempotencyToken.parse(request.key.token).get()?.prefix?.expiry
        if (reply is PermitReply.Granted && expiry != null) {
            check(expiry <= latestTime + MAXIMUM_LIFETIME) { "the issuer accepted a token whose lifetime is too long" }
        }
        return reply
    }

    fun restart(incarnation: Long) {
        id = InstanceId(address, Incarnation(incarnation))
        table = newTable()
        latestTime = Timestamp(0)
        attempts.clear()
        paused = false
        missedMillis = 0
        lastTick = Timestamp(0)
    }

    private fun newTable() = PermitTable(id, CAPACITY, ANSWER_BYTES, MAXIMUM_LIFETIME)

    private companion object {
        const val CAPACITY = 2
        const val ANSWER_BYTES = 10
        val MAXIMUM_LIFETIME = 30.seconds
    }
}

/** Records every write, run and outcome, and fails if they contradict each other. */
internal class AtMostOnceOracle {
    private val writes = HashMap<TokenKey, Int>()
    private val runs = HashMap<TokenKey, PermitRequest>()
    private val answers = HashMap<TokenKey, RecordedAnswer>()
    private val outcomes = HashMap<AttemptId, String>()
    private val deadlines = HashMap<AttemptId, Timestamp>()
    private val notRunAttempts = HashSet<AttemptId>()

    /** Outcomes that the sequence reached, and "ran" if a request ran, for the coverage checks. */
    val reachedEvents: Set<String>
        get() = outcomes.values.toSet() + if (runs.isEmpty()) emptySet() else setOf("ran")

    fun writesOf(key: TokenKey): Int = writes[key] ?: 0

    fun recordPermit(request: PermitRequest, deadline: Timestamp) {
        deadlines[request.attempt] = deadline
    }

    fun recordWrite(request: PermitRequest, now: Timestamp) {
        val deadline = checkNotNull(deadlines[request.attempt]) { "attempt ${request.attempt} wrote without a permit" }
        check(now < deadline) { "attempt ${request.attempt} wrote after the deadline of its permit" }
        check(request.attempt !in notRunAttempts) { "attempt ${request.attempt} wrote after it reported not_run" }
        writes.merge(request.key, 1, Int::plus)
    }

    fun recordRun(request: PermitRequest, answerSize: Int): RecordedAnswer {
        val earlier = runs.put(request.key, request)
        check(earlier == null) { "the request of a token ran twice: ${earlier?.attempt} and ${request.attempt}" }
        val body = "${request.attempt}".encodeToByteArray().copyOf(answerSize)
        return RecordedAnswer(OK, "text/plain", body).also { answers[request.key] = it }
    }

    fun recordAnswer(request: PermitRequest, answer: RecordedAnswer) {
        recordFinalOutcome(request, "answered")
        val run = checkNotNull(runs[request.key]) { "attempt ${request.attempt} was answered although no request ran" }
        check(run.requestDigest == request.requestDigest) {
            "attempt ${request.attempt} has the answer to a different request body"
        }
        check(answers[request.key] === answer) { "attempt ${request.attempt} has an answer that no run returned" }
    }

    /** Checks an outcome against the number of writes of the token when the outcome was decided. */
    fun recordOutcome(request: PermitRequest, outcome: RequestOutcome, writesAtDecision: Int) {
        recordFinalOutcome(request, outcome.code)
        if (outcome !is RequestOutcome.NotRun) return
        check(writesAtDecision == 0) { "attempt ${request.attempt} reported not_run after a write: ${outcome.reason}" }
        notRunAttempts += request.attempt
    }

    fun checkNotRunAttempts() {
        val ranAndNotRun = runs.values.map { it.attempt }.filter { it in notRunAttempts }
        check(ranAndNotRun.isEmpty()) { "attempts reported not_run and ran: $ranAndNotRun" }
    }

    private fun recordFinalOutcome(request: PermitRequest, outcome: String) {
        val earlier = outcomes.put(request.attempt, outcome)
        check(earlier == null) { "attempt ${request.attempt} has two outcomes: $earlier and $outcome" }
    }

    private companion object {
        const val OK = 200
    }
}
