/*
 * Prefill scheduler of an emulated engine: a priority queue, a few prefills that share the processors, results that
 * expire, and KV cache exports over a shared link. Every method runs on the engine's event loop.
 */
package org.arbutusnotch.testing.engine

import com.linecorp.armeria.common.HttpResponse
import com.linecorp.armeria.common.HttpStatus
import org.arbutusnotch.testing.expected.ExpectedOutput
import org.arbutusnotch.testing.http.errorResponse
import org.arbutusnotch.testing.http.jsonResponse
import java.util.concurrent.CompletableFuture

private const val NANOS_PER_SECOND = 1e9

/** Queues and runs prefill requests, keeps their results and exports them to decode engines. */
internal class PrefillScheduler(
    private val settings: EngineSettings,
    private val faults: EngineFaults,
    private val counters: EngineCounters,
    private val cache: PrefixCache,
    private val eventLoop: EngineEventLoop,
    private val freeBlocks: () -> Int,
) {
    private class StalledExport(val transfer: Transfer, val untilNanos: Long)

    private val nanosPerToken = settings.prefillPerToken.inWholeNanoseconds.toDouble()
    private val baseCostTokens = settings.prefillBase.inWholeNanoseconds / nanosPerToken
    private val waitingJobs = mutableListOf<PrefillJob>()
    private val processors = SharedResource<PrefillJob>(NANOS_PER_SECOND / nanosPerToken)
    private val runningJobs = mutableListOf<PrefillJob>()
    private val results = mutableMapOf<String, PrefillResult>()
    private val link = SharedResource<Transfer>(settings.linkTokensPerSecond)
    private val activeTransfers = mutableListOf<Transfer>()
    private val stalledExports = mutableListOf<StalledExport>()
    private var lastHandleNumber = 0L

    val activeCount: Int get() = processors.jobCount
    val queuedCount: Int get() = waitingJobs.size
    val queuedTokens: Long get() = processors.remainingUnits.toLong() + waitingJobs.sumOf { it.promptTokens }
    val usedBlocks: Int get() = runningJobs.sumOf { it.usedBlocks } + results.values.sumOf { it.blockCount }

    fun heldRecords(): List<HeldRecord> =
        (waitingJobs + runningJobs).map { it.toHeldRecord() } + results.values.map { it.toHeldRecord() }

    fun submit(job: PrefillJob) {
        val attemptExists = (waitingJobs + runningJobs).any { it.call.attempt == job.call.attempt }
        when {
            attemptExists -> refuse(job, HttpStatus.CONFLICT, "a request of this attempt already exists")

            processors.jobCount >= settings.maxParallelPrefills && waitingJobs.size >= settings.waitingLimit ->
                refuse(job, HttpStatus.TOO_MANY_REQUESTS, "all prefill slots and queue places are in use")

            ExpectedOutput.blocks(job.promptTokens) > freeBlocks() ->
                refuse(job, HttpStatus.TOO_MANY_REQUESTS, "not enough free memory blocks")

            else -> {
                counters.recordAccepted(job.call.attempt, "prefill", eventLoop.nowEpochMillis())
                waitingJobs += job
            }
        }
    }

    /**
     * Credits running prefills and transfers with the work done until [nowNanos], ends those that are finished or
     * expired, and starts waiting ones.
     */
    fun advance(nowNanos: Long) {
        val slowdownFactor = faults.slowdownFactor(nowNanos)
        processors.advance(nowNanos, slowdownFactor).forEach { finish(it, nowNanos) }
        link.advance(nowNanos, slowdownFactor).forEach(::finishTransfer)
        startDueExports(nowNanos)
        removeExpired(nowNanos)
        startWaiting(nowNanos)
    }

    /** Returns the engine time at which [advance] must run next; null when nothing is scheduled. */
    fun nextEventNanos(): Long? = listOfNotNull(
        processors.nextFinishNanos(),
        link.nextFinishNanos(),
        stalledExports.minOfOrNull { it.untilNanos },
        results.values.filter { it.activeTransferCount == 0 }.minOfOrNull { it.expiresAtNanos },
        (waitingJobs + runningJobs).minOfOrNull { eventLoop.toEngineNanos(it.call.deadlineEpochMillis) },
    ).minOrNull()

    /** Cancels the requests and releases the results of [attempt]; returns false when it has none. */
    fun cancel(attempt: String): Boolean {
        val jobs = (waitingJobs + runningJobs).filter { it.call.attempt == attempt }
        jobs.forEach { stop(it, HttpStatus.CONFLICT, "cancelled") }
        val released = results.values.filter { it.job.call.attempt == attempt }
        released.forEach(::discard)
        return jobs.isNotEmpty() || released.isNotEmpty()
    }

    /**
     * Starts the export of [handle]; [reply] completes when the KV cache has been transferred. Returns null, and
     * completes [reply] with status 410, when the handle is unknown or has expired.
     */
    fun export(handle: String, reply: CompletableFuture<HttpResponse>, nowNanos: Long): Transfer? {
        val result = results[handle]
        if (result == null) {
            reply.complete(errorResponse(HttpStatus.GONE, "the handle is unknown or has expired"))
            return null
        }
        val transfer = Transfer(result, reply)
        val stallNanos = faults.consumeTransferStallNanos()
        result.activeTransferCount++
        activeTransfers += transfer
        if (stallNanos > 0) {
            stalledExports += StalledExport(transfer, nowNanos + stallNanos)
        } else {
            startTransfer(transfer)
        }
        return transfer
    }

    /** Ends a transfer whose receiver disconnected. */
    fun abort(transfer: Transfer) {
        if (!activeTransfers.remove(transfer)) return
        link.remove(transfer)
        stalledExports.removeIf { it.transfer == transfer }
        transfer.result.activeTransferCount--
    }

    private fun startTransfer(transfer: Transfer) = link.add(transfer, transfer.result.job.promptTokens.toDouble())

    private fun startDueExports(nowNanos: Long) {
        val due = stalledExports.filter { it.untilNanos <= nowNanos }
        stalledExports.removeAll(due)
        due.forEach { startTransfer(it.transfer) }
    }

    private fun finishTransfer(transfer: Transfer) {
        activeTransfers.remove(transfer)
        transfer.result.activeTransferCount--
        val job = transfer.result.job
        if (results.remove(transfer.result.handle) != null) counters.recordResultUsed()
        transfer.reply.complete(jsonResponse(KvDescription(job.promptDigest, job.promptTokens)))
    }

    private fun startWaiting(nowNanos: Long) {
        while (processors.jobCount < settings.maxParallelPrefills && waitingJobs.isNotEmpty()) {
            val job = waitingJobs.minWith(compareBy<PrefillJob> { -it.call.priority }.thenBy { it.arrivalNumber })
            waitingJobs.remove(job)
            start(job, nowNanos)
        }
    }

    private fun start(job: PrefillJob, nowNanos: Long) {
        if (ExpectedOutput.blocks(job.promptTokens) > freeBlocks()) {
            refuse(job, HttpStatus.TOO_MANY_REQUESTS, "not enough free memory blocks")
            return
        }
        job.cachedTokens = cache.cachedBlocks(job.prefixDigests) * ExpectedOutput.TOKENS_PER_BLOCK
        job.isRunning = true
        runningJobs += job
        processors.add(job, job.computedTokens + baseCostTokens)
        counters.recordPrefillStart(job.promptDigest)
        faults.crashForPrompt(job.call.prompt)?.let {
            eventLoop.scheduleCrash(nowNanos + it.afterMillis.millisToNanos())
        }
    }

    private fun finish(job: PrefillJob, nowNanos: Long) {
        runningJobs.remove(job)
        cache.store(job.prefixDigests, nowNanos)
        counters.recordPrefillFinish(job)
        val result = PrefillResult(
            handle = "${settings.address}-${eventLoop.startedAtEpochMillis}-${++lastHandleNumber}",
            job = job,
            expiresAtNanos = nowNanos + settings.resultRetention.inWholeNanoseconds,
            expiresAtEpochMillis = eventLoop.nowEpochMillis() + settings.resultRetention.inWholeMilliseconds,
        )
        results[result.handle] = result
        val reply = PrefillReply(result.handle, job.promptTokens, job.cachedTokens, result.expiresAtEpochMillis)
        eventLoop.completeAfter(job.reply, jsonResponse(reply), faults.answerDelayNanos(nowNanos))
    }

    private fun removeExpired(nowNanos: Long) {
        (waitingJobs + runningJobs)
            .filter { eventLoop.toEngineNanos(it.call.deadlineEpochMillis) <= nowNanos }
            .forEach { stop(it, HttpStatus.GATEWAY_TIMEOUT, "deadline exceeded") }
        results.values.filter { it.activeTransferCount == 0 && it.expiresAtNanos <= nowNanos }.forEach(::discard)
    }

    private fun stop(job: PrefillJob, status: HttpStatus, message: String) {
        val remainingTokens = processors.remainingUnitsOf(job)
        if (remainingTokens != null) {
            val computedTokens = (job.computedTokens + baseCostTokens - remainingTokens).toLong().coerceAtLeast(0)
            counters.recordPrefillStop(computedTokens)
        }
        processors.remove(job)
        runningJobs.remove(job)
        waitingJobs.remove(job)
        job.reply.complete(errorResponse(status, message))
    }

    private fun discard(result: PrefillResult) {
        results.remove(result.handle)
        counters.recordResultWasted(result.job)
        activeTransfers.filter { it.result == result }.forEach { transfer ->
            abort(transfer)
            transfer.reply.complete(errorResponse(HttpStatus.GONE, "the prefill result was released"))
        }
    }

    private fun refuse(job: PrefillJob, status: HttpStatus, message: String) {
        counters.refusals++
        job.reply.complete(errorResponse(status, message))
    }
}
