/*
 * The decode half of an engine: continuous batching with a limited number of slots. Every method runs on the engine's
 * thread.
 */
package org.arbutusnotch.testing.engine

import com.linecorp.armeria.common.HttpResponse
import com.linecorp.armeria.common.HttpStatus
import com.linecorp.armeria.common.MediaType
import com.linecorp.armeria.common.ResponseHeaders
import org.arbutusnotch.testing.expected.ExpectedOutput
import org.arbutusnotch.testing.http.problem

/** Fetches the description of a handle; the answer arrives when the KV cache has been transferred. */
internal fun interface KvImporter {
    fun fetch(sourceServer: String, handle: String): HttpResponse
}

/** Signals that a fault broke the stream. */
internal class StreamDropped : RuntimeException("the stream was dropped on command")

/** Runs decode requests. */
internal class Decodes(
    private val settings: EngineSettings,
    private val faults: EngineFaults,
    private val counters: EngineCounters,
    private val clock: EngineClock,
    private val freeBlocks: () -> Int,
    private val import: (DecodeJob) -> Unit,
) {
    private val jobs = mutableListOf<DecodeJob>()
    private var nextStepNanos: Long? = null

    val active: Int get() = jobs.count { it.phase != DecodePhase.WAITING }
    val queued: Int get() = jobs.count { it.phase == DecodePhase.WAITING }
    val blocks: Int get() = jobs.sumOf { it.blocks }

    fun held(): List<HeldRecord> = jobs.map { it.held() }

    fun submit(job: DecodeJob) {
        when {
            jobs.any { it.call.attempt == job.call.attempt } -> refuse(job, HttpStatus.CONFLICT, "attempt exists")

            active >= settings.slots && queued >= settings.waitingLimit ->
                refuse(job, HttpStatus.TOO_MANY_REQUESTS, "slots are full")

            else -> {
                counters.accepted(job.call.attempt, "decode", clock.epochMillis())
                jobs += job
            }
        }
    }

    /** Generates the tokens that are due at [nowNanos] and starts what can start. */
    fun advance(nowNanos: Long) {
        expire(nowNanos)
        val due = nextStepNanos?.takeIf { it <= nowNanos }
        if (due != null) {
            runningJobs().forEach { generate(it) }
            nextStepNanos = if (runningJobs().isEmpty()) null else stepAfter(due, nowNanos)
        }
        startWaiting()
    }

    /** Returns when [advance] has something to do next. */
    fun nextEventNanos(): Long? = listOfNotNull(
        nextStepNanos,
        jobs.minOfOrNull { clock.nanosAt(it.call.deadlineEpochMillis) },
    ).minOrNull()

    /** Adds a job whose KV cache has arrived to the batch; [kv] is null when the handle did not exist. */
    fun imported(job: DecodeJob, kv: KvDescription?, nowNanos: Long) {
        if (job !in jobs) return
        when {
            kv == null -> fail(job, HttpStatus.GONE, "the handle does not exist")

            ExpectedOutput.blocks(kv.promptTokens + job.call.maxTokens) > freeBlocks() ->
                fail(job, HttpStatus.TOO_MANY_REQUESTS, "memory is full")

            else -> run(job, kv, nowNanos)
        }
    }

    /** Releases everything that [attempt] holds. */
    fun cancel(attempt: String): Boolean {
        val cancelled = jobs.filter { it.call.attempt == attempt }
        cancelled.forEach { fail(it, HttpStatus.CONFLICT, "cancelled") }
        return cancelled.isNotEmpty()
    }

    private fun runningJobs(): List<DecodeJob> = jobs.filter { it.phase == DecodePhase.RUNNING }

    private fun startWaiting() {
        while (active < settings.slots && queued > 0) {
            val job = jobs.filter { it.phase == DecodePhase.WAITING }
                .minWith(compareBy<DecodeJob> { -it.call.priority }.thenBy { it.arrival })
            job.phase = DecodePhase.IMPORTING
            import(job)
        }
    }

    private fun run(job: DecodeJob, kv: KvDescription, nowNanos: Long) {
        job.phase = DecodePhase.RUNNING
        job.promptDigest = kv.promptDigest
        job.promptTokens = kv.promptTokens
        counters.decodeStarted(kv.promptDigest)
        faults.crashForDigest(kv.promptDigest)?.let { clock.crashAt(nowNanos + it.afterMillis.millisToNanos()) }
        openStream(job, nowNanos)
        if (nextStepNanos == null) nextStepNanos = nowNanos + stepNanos(nowNanos)
    }

    private fun openStream(job: DecodeJob, nowNanos: Long) {
        val response = HttpResponse.streaming()
        response.write(ResponseHeaders.builder(HttpStatus.OK).contentType(MediaType.JSON_LINES).build())
        job.writer = response
        clock.completeLater(job.reply, response, faults.answerDelayNanos(nowNanos))
    }

    private fun generate(job: DecodeJob) {
        if (job.nextIndex < job.call.maxTokens) {
            if (faults.takeForeignToken()) writeForeignToken(job)
            job.writeToken(job.call.attempt, ExpectedOutput.token(job.call.model, job.promptDigest, job.nextIndex))
            job.nextIndex++
            counters.tokensGenerated++
        }
        if (job.nextIndex >= job.call.maxTokens) {
            jobs.remove(job)
            counters.streamsCompleted++
            job.writeEnd()
        } else {
            faults.takeDrop(job.sentTokens)?.let { drop(job, it) }
        }
    }

    private fun writeForeignToken(job: DecodeJob) {
        counters.foreignTokensSent++
        job.writeToken("${job.call.attempt}-other", ExpectedOutput.token(job.call.model, "other", job.nextIndex))
    }

    private fun drop(job: DecodeJob, fault: EngineFault.DropStreams) {
        if (!fault.keepRunning) jobs.remove(job)
        job.writer?.close(StreamDropped())
    }

    private fun expire(nowNanos: Long) = jobs
        .filter { clock.nanosAt(it.call.deadlineEpochMillis) <= nowNanos }
        .forEach { fail(it, HttpStatus.GATEWAY_TIMEOUT, "deadline exceeded") }

    private fun fail(job: DecodeJob, status: HttpStatus, message: String) {
        jobs.remove(job)
        job.import?.abort()
        val writer = job.writer
        if (writer == null) refuse(job, status, message) else writer.close(StreamDropped())
    }

    private fun refuse(job: DecodeJob, status: HttpStatus, message: String) {
        if (status == HttpStatus.TOO_MANY_REQUESTS) counters.refusals++
        job.reply.complete(problem(status, message))
    }

    /** Returns the time of the step after [due]; after a pause of the process, steps go on from [nowNanos]. */
    private fun stepAfter(due: Long, nowNanos: Long): Long {
        val base = if (nowNanos - due > MAX_LATENESS_NANOS) nowNanos else due
        return base + stepNanos(nowNanos)
    }

    private fun stepNanos(nowNanos: Long): Long {
        val step = settings.stepBase + settings.stepPerRequest * runningJobs().size
        return (step.inWholeNanoseconds * faults.slowness(nowNanos)).toLong()
    }

    private companion object {
        const val MAX_LATENESS_NANOS = 100_000_000L
    }
}
