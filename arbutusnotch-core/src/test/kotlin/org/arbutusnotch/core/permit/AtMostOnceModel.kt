/*
 * Drives the permit tables and attempts of several instances through a sequence of failures, and compares what happens
 * with a record of every write, every run and every outcome.
 *
 * The clocks of the instances differ and jump. A message stays in the network until it is delivered or lost, so
 * messages arrive in any order. A call to a backend server runs when it is delivered, even if its sender has ended
 * meanwhile.
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
    private val cut = mutableSetOf<Set<InstanceAddress>>()
    private val instances = List(INSTANCES) { ModelInstance(InstanceAddress("10.0.0.${it + 1}:7000"), it + 1L) }
    private var time = START
    private var incarnations = INSTANCES.toLong()
    private var attemptNumber = 0L

    fun issueToken(choice: Choice) {
        if (tokens.size >= MAXIMUM_TOKENS) return
        val lifetime = choice.of(LIFETIMES)
        val issuer = choice.of(instances)
        val prefix = IssuerPrefix(issuer.id, Timestamp(time) + lifetime.milliseconds, "r${tokens.size}")
        val token = IdempotencyToken(prefix, "key").format()
        tokens += TokenKey(ClientId("client"), WorkspaceId("first"), token)
        if (choice.chance(oneIn = 4)) tokens += TokenKey(ClientId("client"), WorkspaceId("second"), token)
    }

    /** Lets a caller send a request; a token is usually repeated, as callers retry. */
    fun call(choice: Choice) {
        if (tokens.isEmpty()) issueToken(choice)
        val key = choice.of(tokens)
        val entry = choice.of(instances.filterNot { it.paused }.ifEmpty { return })
        val digest = ContentDigest(if (choice.chance(oneIn = 8)) "other" else "usual")
        attemptNumber += 1
        val id = AttemptId("${entry.id}/$attemptNumber")
        val deadline = entry.now(time) + choice.of(PERMIT_TIMES).milliseconds
        val attempt = PermitAttempt(PermitRequest(key, digest, entry.id, id, deadline))
        entry.attempts[id] = attempt
        sendRequest(entry, attempt)
    }

    fun deliver(choice: Choice) {
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
                apply(receiver, attempt, attempt.replied(message), packet.writesAtDecision)
            }

            else -> error("unexpected message $message")
        }
    }

    fun lose(choice: Choice) {
        if (network.isNotEmpty()) network.remove(choice.of(network))
    }

    /** Lets an attempt that waits for another holder, or for a reply that may be lost, ask again. */
    fun askAgain(choice: Choice) {
        val (entry, attempt) = attempt(choice) { !it.ended } ?: return
        sendRequest(entry, attempt)
    }

    fun giveUpOnIssuer(choice: Choice) {
        val (entry, attempt) = anyAttempt(choice) ?: return
        apply(entry, attempt, attempt.issuerUnreachable())
    }

    /** Lets a holder write to a backend server; the connection may break before the call arrives there. */
    fun write(choice: Choice) {
        val (entry, attempt) = attempt(choice) { it.holdsPermit } ?: return
        val step = attempt.beginWrite(entry.now(time), entry.lastTick, TICK_GAP_LIMIT)
        if (step != null) {
            apply(entry, attempt, step)
            return
        }
        check(!entry.missedTicks()) { "attempt ${attempt.request.attempt} wrote after a pause" }
        oracle.wrote(attempt.request, entry.now(time))
        backendCalls += BackendCall(entry.address, attempt.request)
    }

    fun runOnBackend(choice: Choice) {
        val call = choice.of(backendCalls.filterNot { it.ran }.ifEmpty { return })
        call.ran = true
        call.answer = oracle.ran(call.request, choice.of(ANSWER_SIZES))
    }

    fun deliverAnswer(choice: Choice) {
        val call = choice.of(backendCalls.filter { it.answer != null }.ifEmpty { return })
        val entry = instances.first { it.address == call.entry }
        if (entry.paused) return
        backendCalls.remove(call)
        val attempt = entry.attempts[call.request.attempt] ?: return
        apply(entry, attempt, attempt.answered(checkNotNull(call.answer)))
    }

    /** Lets an entry end an attempt by itself, before or after its write, or once more after its end. */
    fun fail(choice: Choice) {
        val (entry, attempt) = anyAttempt(choice) ?: return
        apply(entry, attempt, attempt.fail(choice.of(OWN_FAILURES)))
    }

    fun passTime(choice: Choice) {
        val step = choice.of(STEPS)
        time += step
        instances.forEach { it.passTime(time, step) }
    }

    fun moveClock(choice: Choice) {
        choice.of(instances).moveClock(choice.of(CLOCK_OFFSETS))
    }

    fun pauseOrResume(choice: Choice) {
        val instance = choice.of(instances)
        instance.paused = !instance.paused
    }

    fun restart(choice: Choice) {
        incarnations += 1
        choice.of(instances).restart(incarnations)
    }

    fun cutOrHeal(choice: Choice) {
        if (choice.chance(oneIn = 2)) {
            cut.clear()
        } else {
            cut += setOf(choice.of(instances).address, choice.of(instances).address)
        }
    }

    /** Delivers everything that is left, so that late effects are seen as well. */
    fun settle() {
        cut.clear()
        instances.forEach { it.paused = false }
        repeat(SETTLING_ROUNDS) {
            deliver(Choice(0))
            runOnBackend(Choice(0))
            deliverAnswer(Choice(0))
        }
        oracle.checkRefusedAttempts()
    }

    private fun anyAttempt(choice: Choice): Pair<ModelInstance, PermitAttempt>? {
        val endedToo = choice.chance(oneIn = 4)
        return attempt(choice) { endedToo || !it.ended }
    }

    private fun attempt(choice: Choice, condition: (PermitAttempt) -> Boolean): Pair<ModelInstance, PermitAttempt>? {
        val matching = instances
            .filterNot { it.paused }
            .flatMap { entry -> entry.attempts.values.filter(condition).map { entry to it } }
        return if (matching.isEmpty()) null else choice.of(matching)
    }

    private fun deliverable(): List<Packet> = network.filter { packet ->
        setOf(packet.sender, packet.receiver) !in cut && instances.none { it.address == packet.receiver && it.paused }
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

    private fun apply(entry: ModelInstance, attempt: PermitAttempt, step: PermitStep, writesAtDecision: Int? = null) {
        step.close?.let { send(entry, issuerOf(attempt), it, attempt.request.attempt) }
        when (val decision = step.decision) {
            is PermitDecision.SendAnswer -> oracle.toldAnswer(attempt.request, decision.answer)

            is PermitDecision.Refuse -> {
                val writes = writesAtDecision ?: oracle.writesOf(attempt.request.key)
                oracle.told(attempt.request, decision.outcome, writes)
            }

            is PermitDecision.Run -> oracle.permitted(attempt.request, decision.deadline)

            is PermitDecision.AwaitRunning, null -> Unit
        }
    }

    private companion object {
        const val INSTANCES = 3
        const val START = 1_000_000L
        const val MAXIMUM_TOKENS = 4
        const val SETTLING_ROUNDS = 60
        val LIFETIMES = listOf(20_000L, 20_000L, 20_000L, 20_000L, 8_000L, 8_000L, 2_000L, 40_000L, -1_000L)
        val PERMIT_TIMES = listOf(3_000L, 3_000L, 10_000L, 10_000L, 1_000L, -500L)
        val STEPS = listOf(20L, 20L, 500L, 500L, 2_500L, 9_000L)
        val CLOCK_OFFSETS = listOf(0L, 0L, 0L, 700L, -300L, 300L, -15_000L, 12_000L)
        val ANSWER_SIZES = listOf(4, 4, 100)
        val OWN_FAILURES = listOf(RefusalReason.NO_BACKEND_SERVER, RefusalReason.BACKEND_FAILED)
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
    private var latest = Timestamp(0)
    var paused = false
    var lastTick = Timestamp(0)

    private var missedMillis = 0L
    private var clockMoved = false
    val attempts = LinkedHashMap<AttemptId, PermitAttempt>()

    fun now(time: Long): Timestamp = Timestamp(time + clockOffset)

    /** Whether the process has missed ticks and its clock shows it. */
    fun missedTicks(): Boolean = missedMillis > TICK_GAP_LIMIT.inWholeMilliseconds && !clockMoved

    fun moveClock(offset: Long) {
        clockOffset = offset
        clockMoved = true
    }

    /** Ticks if the process runs. A step of time stands for many ticks, so a running process has missed none. */
    fun passTime(time: Long, step: Long) {
        missedMillis += step
        if (paused) return
        missedMillis = 0
        clockMoved = false
        lastTick = now(time)
        table.tick(lastTick)
        latest = maxOf(latest, lastTick)
    }

    fun request(request: PermitRequest, time: Long): PermitReply {
        val reply = table.request(request, now(time))
        latest = maxOf(latest, now(time))
        val expiry = IdempotencyToken.parse(request.key.token).get()?.prefix?.expiry
        if (reply is PermitReply.Granted && expiry != null) {
            check(expiry <= latest + MAXIMUM_LIFETIME) { "the issuer permitted a token whose expiry is too far away" }
        }
        return reply
    }

    fun restart(incarnation: Long) {
        id = InstanceId(address, Incarnation(incarnation))
        table = newTable()
        latest = Timestamp(0)
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

/** Records every write, run and outcome, and fails when they contradict each other. */
internal class AtMostOnceOracle {
    private val writes = HashMap<TokenKey, Int>()
    private val runs = HashMap<TokenKey, PermitRequest>()
    private val answers = HashMap<TokenKey, RecordedAnswer>()
    private val outcomes = HashMap<AttemptId, String>()
    private val deadlines = HashMap<AttemptId, Timestamp>()
    private val refused = HashSet<AttemptId>()

    /** What the sequence reached, for the coverage checks. */
    val reached: Set<String>
        get() = outcomes.values.toSet() + if (runs.isEmpty()) emptySet() else setOf("ran")

    fun writesOf(key: TokenKey): Int = writes[key] ?: 0

    fun permitted(request: PermitRequest, deadline: Timestamp) {
        deadlines[request.attempt] = deadline
    }

    fun wrote(request: PermitRequest, now: Timestamp) {
        val deadline = checkNotNull(deadlines[request.attempt]) { "attempt ${request.attempt} wrote without a permit" }
        check(now < deadline) { "attempt ${request.attempt} wrote after the deadline of its permit" }
        check(request.attempt !in refused) { "attempt ${request.attempt} wrote after it told not_run" }
        writes.merge(request.key, 1, Int::plus)
    }

    fun ran(request: PermitRequest, answerSize: Int): RecordedAnswer {
        val earlier = runs.put(request.key, request)
        check(earlier == null) { "token ran twice: ${earlier?.attempt} and ${request.attempt}" }
        val body = "${request.attempt}".encodeToByteArray().copyOf(answerSize)
        return RecordedAnswer(OK, "text/plain", body).also { answers[request.key] = it }
    }

    fun toldAnswer(request: PermitRequest, answer: RecordedAnswer) {
        tellOnce(request, "answered")
        val run = checkNotNull(runs[request.key]) { "attempt ${request.attempt} was answered and nothing ran" }
        check(run.requestDigest == request.requestDigest) {
            "attempt ${request.attempt} has the answer to another body"
        }
        check(answers[request.key] === answer) { "attempt ${request.attempt} has another answer than what ran" }
    }

    /** Checks an outcome against the number of writes of the token when the outcome was decided. */
    fun told(request: PermitRequest, outcome: RequestOutcome, writesAtDecision: Int) {
        tellOnce(request, outcome.code)
        if (outcome !is RequestOutcome.NotRun) return
        check(writesAtDecision == 0) { "attempt ${request.attempt} told not_run after a write: ${outcome.reason}" }
        refused += request.attempt
    }

    fun checkRefusedAttempts() {
        val ranAndRefused = runs.values.map { it.attempt }.filter { it in refused }
        check(ranAndRefused.isEmpty()) { "attempts told not_run and ran: $ranAndRefused" }
    }

    private fun tellOnce(request: PermitRequest, outcome: String) {
        val earlier = outcomes.put(request.attempt, outcome)
        check(earlier == null) { "attempt ${request.attempt} has two outcomes: $earlier and $outcome" }
    }

    private companion object {
        const val OK = 200
    }
}
