/*
 * Decode scheduler of an emulated engine: continuous batching with a limited number of slots. Every method runs on the
 * engine's event loop.
 */
package org.arbutusnotch.testing.engine

import com.linecorp.armeria.common.HttpResponse
import com.linecorp.armeria.common.HttpStatus
import com.linecorp.armeria.common.MediaType
import com.linecorp.armeria.common.ResponseHeaders
import org.arbutusnotch.testing.expected.ExpectedOutput
import org.arbutusnotch.testing.http.errorResponse

/**
 * Fetches a KV cache from the engine that computed it. The response completes when the cache has been transferred, and
 * carries a [KvDescription].
 */
internal fun interface KvImporter {
    fun fetch(sourceServer: String, handle: String): HttpResponse
}

/** Signals that a fault, a cancellation or a deadline ended a decode stream before its last token. */
internal class StreamAbortedException : RuntimeException("the emulator aborted the decode stream")

/** Queues decode requests, runs them in one batch and streams their tokens. */
internal class DecodeScheduler(
    private val settings: EngineSettings,
    private val faults: EngineFaults,
    private val counters: EngineCounters,
    private val eventLoop: EngineEventLoop,
    private val freeBlocks: () -> Int,
    private val startImport: (DecodeJob) -> Unit,
) {
    private val jobs = mutableListOf<DecodeJob>()
    private var nextStepNanos: Long? = null

    val activeCount: Int get() = jobs.count { it.phase != DecodePhase.WAITING }
    val queuedCount: Int get() = jobs.count { it.phase == DecodePhase.WAITING }
    val usedBlocks: Int get() = jobs.sumOf { it.usedBlocks }

    fun heldRecords(): List<HeldRecord> = jobs.map { it.toHeldRecord() }

    fun submit(job: DecodeJob) {
        when {
            jobs.any { it.call.attempt == job.call.attempt } ->
                refuse(job, HttpStatus.CONFLICT, "a request of this attempt already exists")

            activeCount >= settings.slots && queuedCount >= settings.waitingLimit ->
                refuse(job, HttpStatus.TOO_MANY_REQUESTS, "all slots and queue places are in use")

            else -> {
                counters.recordAccepted(job.call.attempt, "decode", eventLoop.nowEpochMillis())
                jobs += job
            }
        }
    }

    /**
     * Fails requests whose deadline has passed, runs the decode step that is due at [nowNanos] and starts waiting
     * requests in free slots.
     */
    fun advance(nowNanos: Long) {
        failExpired(nowNanos)
        val due = nextStepNanos?.takeIf { it <= nowNanos }
        if (due != null) {
            runningJobs().forEach { generateToken(it) }
            nextStepNanos = if (runningJobs().isEmpty()) null else nextStepAfter(due, nowNanos)
        }
        startWaiting()
    }

    /** Returns the engine time at which [advance] must run next; null when nothing is scheduled. */
    fun nextEventNanos(): Long? = listOfNotNull(
        nextStepNanos,
        jobs.minOfOrNull { eventLoop.toEngineNanos(it.call.deadlineEpochMillis) },
    ).minOrNull()

    /** Adds a job whose KV cache has arrived to the batch, or fails it; [kv] is null when the fetch failed. */
    fun onKvImported(job: DecodeJob, kv: KvDescription?, nowNanos: Long) {
        if (job !in jobs) return
        when {
            kv == null -> fail(job, HttpStatus.GONE, "the handle is unknown or has expired")

            ExpectedOutput.blocks(kv.promptTokens + job.call.maxTokens) > freeBlocks() ->
                fail(job, HttpStatus.TOO_MANY_REQUESTS, "not enough free memory blocks")

            else -> startGeneration(job, kv, nowNanos)
        }
    }

    /** Cancels the requests of [attempt] and releases their memory; returns false when it has none. */
    fun cancel(attempt: String): Boolean {
        val cancelled = jobs.filter { it.call.attempt == attempt }
        cancelled.forEach { fail(it, HttpStatus.CONFLICT, "cancelled") }
        return cancelled.isNotEmpty()
    }

    private fun runningJobs(): List<DecodeJob> = jobs.filter { it.phase == DecodePhase.RUNNING }

    private fun startWaiting() {
        while (activeCount < settings.slots && queuedCount > 0) {
            val job = jobs.filter { it.phase == DecodePhase.WAITING }
                .minWith(compareBy<DecodeJob> { -it.call.priority }.thenBy { it.arrivalNumber })
            job.phase = DecodePhase.IMPORTING
            startImport(job)
        }
    }

    private fun startGeneration(job: DecodeJob, kv: KvDescription, nowNanos: Long) {
        job.phase = DecodePhase.RUNNING
        job.promptDigest = kv.promptDigest
        job.promptTokens = kv.promptTokens
        counters.recordDecodeStart(kv.promptDigest)
        faults.crashForDigest(kv.promptDigest)?.let {
            eventLoop.scheduleCrash(nowNanos + it.afterMillis.millisToNanos())
        }
        openStream(job, nowNanos)
        if (nextStepNanos == null) nextStepNanos = nowNanos + stepDurationNanos(nowNanos)
    }

    private fun openStream(job: DecodeJob, nowNanos: Long) {
        val response = HttpResponse.streaming()
        response.write(ResponseHeaders.builder(HttpStatus.OK).contentType(MediaType.JSON_LINES).build())
        job.streamWriter = response
        eventLoop.completeAfter(job.reply, response, faults.answerDelayNanos(nowNanos))
    }

    private fun generateToken(job: DecodeJob) {
        if (job.nextTokenIndex < job.call.maxTokens) {
            if (faults.consumeForeignToken()) writeForeignToken(job)
            job.writeToken(job.call.attempt, ExpectedOutput.token(job.call.model, job.promptDigest, job.nextTokenIndex))
            job.nextTokenIndex++
            counters.tokensGenerated++
        }
        if (job.nextTokenIndex >= job.call.maxTokens) {
            jobs.remove(job)
            counters.streamsCompleted++
            job.writeEnd()
        } else {
            faults.consumeStreamDrop(job.sentTokenCount)?.let { breakStream(job, it) }
        }
    }

    private fun writeForeignToken(job: DecodeJob) {
        counters.foreignTokensSent++
        job.writeToken("${job.call.attempt}-other", ExpectedOutput.token(job.call.model, "other", job.nextTokenIndex))
    }

    private fun breakStream(job: DecodeJob, fault: EngineFault.DropStreams) {
        if (!fault.keepRunning) jobs.remove(job)
        job.streamWriter?.close(StreamAbortedException())
    }

    private fun failExpired(nowNanos: Long) = jobs
        .filter { eventLoop.toEngineNanos(it.call.deadlineEpochMillis) <= nowNanos }
        .forEach { fail(it, HttpStatus.GATEWAY_TIMEOUT, "deadline exceeded") }

    private fun fail(job: DecodeJob, status: HttpStatus, message: String) {
        jobs.remove(job)
        job.importResponse?.abort()
        val writer = job.streamWriter
        if (writer == null) refuse(job, status, message) else writer.close(StreamAbortedException())
    }

    private fun refuse(job: DecodeJob, status: HttpStatus, message: String) {
        if (status == HttpStatus.TOO_MANY_REQUESTS) counters.refusals++
        job.reply.complete(errorResponse(status, message))
    }

    /**
     * Returns the time of the step after [due]. When the step at [due] is later than [MAX_STEP_LATENESS_NANOS], because
     * the process was paused, steps continue from [nowNanos] and the missed ones are skipped.
     */
    private fun nextStepAfter(due: Long, nowNanos: Long): Long {
        val previousStep = if (nowNanos - due > MAX_STEP_LATENESS_NANOS) nowNanos else due
        return previousStep + stepDurationNanos(nowNanos)
    }

    private fun stepDurationNanos(nowNanos: Long): Long {
        val step = settings.stepBase + settings.stepPerRequest * runningJobs().size
        return (step.inWholeNanoseconds * faults.slowdownFactor(nowNanos)).toLong()
    }

    private companion object {
        const val MAX_STEP_LATENESS_NANOS = 100_000_000L
    }
}
