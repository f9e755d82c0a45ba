/*
 * The prefill half of an engine: a queue by priority, a few prefills that share the processors, results that expire,
 * and exports over a shared link. Every method runs on the engine's thread.
 */
package org.arbutusnotch.testing.engine

import com.linecorp.armeria.common.HttpResponse
import com.linecorp.armeria.common.HttpStatus
import org.arbutusnotch.testing.expected.ExpectedOutput
import org.arbutusnotch.testing.http.jsonResponse
import org.arbutusnotch.testing.http.problem
import java.util.concurrent.CompletableFuture

private const val NANOS_PER_SECOND = 1e9

/** Runs prefills and keeps their results. */
internal class Prefills(
    private val settings: EngineSettings,
    private val faults: EngineFaults,
    private val counters: EngineCounters,
    private val cache: PrefixCache,
    private val clock: EngineClock,
    private val freeBlocks: () -> Int,
) {
    private class HeldExport(val transfer: Transfer, val untilNanos: Long)

    private val perTokenNanos = settings.prefillPerToken.inWholeNanoseconds.toDouble()
    private val baseUnits = settings.prefillBase.inWholeNanoseconds / perTokenNanos
    private val waiting = mutableListOf<PrefillJob>()
    private val running = SharedRate<PrefillJob>(NANOS_PER_SECOND / perTokenNanos)
    private val runningJobs = mutableListOf<PrefillJob>()
    private val results = mutableMapOf<String, PrefillResult>()
    private val link = SharedRate<Transfer>(settings.linkTokensPerSecond)
    private val exporting = mutableListOf<Transfer>()
    private val heldExports = mutableListOf<HeldExport>()
    private var handles = 0L

    val active: Int get() = running.size
    val queued: Int get() = waiting.size
    val queuedTokens: Long get() = running.remaining.toLong() + waiting.sumOf { it.promptTokens }
    val blocks: Int get() = runningJobs.sumOf { it.blocks } + results.values.sumOf { it.blocks }

    fun held(): List<HeldRecord> = (waiting + runningJobs).map { it.held() } + results.values.map { it.held() }

    fun submit(job: PrefillJob) {
        val known = (waiting + runningJobs).any { it.call.attempt == job.call.attempt }
        when {
            known -> refuse(job, HttpStatus.CONFLICT, "attempt exists")

            running.size >= settings.prefillParallel && waiting.size >= settings.waitingLimit ->
                refuse(job, HttpStatus.TOO_MANY_REQUESTS, "queue is full")

            ExpectedOutput.blocks(job.promptTokens) > freeBlocks() ->
                refuse(job, HttpStatus.TOO_MANY_REQUESTS, "memory is full")

            else -> {
                counters.accepted(job.call.attempt, "prefill", clock.epochMillis())
                waiting += job
            }
        }
    }

    /** Accounts for the time up to [nowNanos] and starts what can start. */
    fun advance(nowNanos: Long) {
        val slowness = faults.slowness(nowNanos)
        running.advance(nowNanos, slowness).forEach { finish(it, nowNanos) }
        link.advance(nowNanos, slowness).forEach(::finishTransfer)
        startHeldExports(nowNanos)
        expire(nowNanos)
        startWaiting(nowNanos)
    }

    /** Returns when [advance] has something to do next. */
    fun nextEventNanos(): Long? = listOfNotNull(
        running.nextFinishNanos(),
        link.nextFinishNanos(),
        heldExports.minOfOrNull { it.untilNanos },
        results.values.filter { it.transfers == 0 }.minOfOrNull { it.expiresAtNanos },
        (waiting + runningJobs).minOfOrNull { clock.nanosAt(it.call.deadlineEpochMillis) },
    ).minOrNull()

    /** Releases everything that [attempt] holds. */
    fun cancel(attempt: String): Boolean {
        val jobs = (waiting + runningJobs).filter { it.call.attempt == attempt }
        jobs.forEach { stop(it, HttpStatus.CONFLICT, "cancelled") }
        val released = results.values.filter { it.job.call.attempt == attempt }
        released.forEach(::waste)
        return jobs.isNotEmpty() || released.isNotEmpty()
    }

    /** Starts the export of [handle]; the answer comes when the KV cache has crossed the link. */
    fun export(handle: String, reply: CompletableFuture<HttpResponse>, nowNanos: Long): Transfer? {
        val result = results[handle]
        if (result == null) {
            reply.complete(problem(HttpStatus.GONE, "the handle does not exist"))
            return null
        }
        val transfer = Transfer(result, reply)
        val stallNanos = faults.takeStallNanos()
        result.transfers++
        exporting += transfer
        if (stallNanos > 0) heldExports += HeldExport(transfer, nowNanos + stallNanos) else startTransfer(transfer)
        return transfer
    }

    /** Ends a transfer whose receiver disconnected. */
    fun abort(transfer: Transfer) {
        if (!exporting.remove(transfer)) return
        link.remove(transfer)
        heldExports.removeIf { it.transfer == transfer }
        transfer.result.transfers--
    }

    private fun startTransfer(transfer: Transfer) = link.add(transfer, transfer.result.job.promptTokens.toDouble())

    private fun startHeldExports(nowNanos: Long) {
        val due = heldExports.filter { it.untilNanos <= nowNanos }
        heldExports.removeAll(due)
        due.forEach { startTransfer(it.transfer) }
    }

    private fun finishTransfer(transfer: Transfer) {
        exporting.remove(transfer)
        transfer.result.transfers--
        val job = transfer.result.job
        if (results.remove(transfer.result.handle) != null) counters.resultUsed()
        transfer.reply.complete(jsonResponse(KvDescription(job.promptDigest, job.promptTokens)))
    }

    private fun startWaiting(nowNanos: Long) {
        while (running.size < settings.prefillParallel && waiting.isNotEmpty()) {
            val job = waiting.minWith(compareBy<PrefillJob> { -it.call.priority }.thenBy { it.arrival })
            waiting.remove(job)
            start(job, nowNanos)
        }
    }

    private fun start(job: PrefillJob, nowNanos: Long) {
        if (ExpectedOutput.blocks(job.promptTokens) > freeBlocks()) {
            refuse(job, HttpStatus.TOO_MANY_REQUESTS, "memory is full")
            return
        }
        job.cachedTokens = cache.cachedBlocks(job.prefixDigests) * ExpectedOutput.TOKENS_PER_BLOCK
        job.isRunning = true
        runningJobs += job
        running.add(job, job.computedTokens + baseUnits)
        counters.prefillStarted(job.promptDigest)
        faults.crashFor(job.call.prompt)?.let { clock.crashAt(nowNanos + it.afterMillis.millisToNanos()) }
    }

    private fun finish(job: PrefillJob, nowNanos: Long) {
        runningJobs.remove(job)
        cache.store(job.prefixDigests, nowNanos)
        counters.prefillFinished(job)
        val result = PrefillResult(
            handle = "${settings.address}-${clock.startedAtEpochMillis}-${++handles}",
            job = job,
            expiresAtNanos = nowNanos + settings.retention.inWholeNanoseconds,
            expiresAtEpochMillis = clock.epochMillis() + settings.retention.inWholeMilliseconds,
        )
        results[result.handle] = result
        val reply = PrefillReply(result.handle, job.promptTokens, job.cachedTokens, result.expiresAtEpochMillis)
        clock.completeLater(job.reply, jsonResponse(reply), faults.answerDelayNanos(nowNanos))
    }

    private fun expire(nowNanos: Long) {
        (waiting + runningJobs)
            .filter { clock.nanosAt(it.call.deadlineEpochMillis) <= nowNanos }
            .forEach { stop(it, HttpStatus.GATEWAY_TIMEOUT, "deadline exceeded") }
        results.values.filter { it.transfers == 0 && it.expiresAtNanos <= nowNanos }.forEach(::waste)
    }

    private fun stop(job: PrefillJob, status: HttpStatus, message: String) {
        val left = running.remainingOf(job)
        if (left != null) counters.prefillStopped((job.computedTokens + baseUnits - left).toLong().coerceAtLeast(0))
        running.remove(job)
        runningJobs.remove(job)
        waiting.remove(job)
        job.reply.complete(problem(status, message))
    }

    private fun waste(result: PrefillResult) {
        results.remove(result.handle)
        counters.resultWasted(result.job)
        exporting.filter { it.result == result }.forEach { transfer ->
            abort(transfer)
            transfer.reply.complete(problem(HttpStatus.GONE, "the handle was released"))
        }
    }

    private fun refuse(job: PrefillJob, status: HttpStatus, message: String) {
        counters.refusals++
        job.reply.complete(problem(status, message))
    }
}
